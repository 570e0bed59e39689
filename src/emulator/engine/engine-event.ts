import type { Micros } from '../../common/micros.js';
import type { EngineOrder } from './engine-order.js';

export type EngineEvent =
  | { readonly type: 'order'; readonly at: Micros; readonly order: EngineOrder }
  | { readonly type: 'cancel'; readonly at: Micros; readonly name: string }
  | { readonly type: 'weights'; readonly at: Micros; readonly version: number }
  | { readonly type: 'time'; readonly at: Micros };
