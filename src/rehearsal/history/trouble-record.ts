import type { Micros } from '../../common/micros.js';
import type { OutageType } from './outage-type.js';

/** What was done to the world, in order: links cut each way, all cuts healed, a process or server hit and whole again. */
export type TroubleRecord =
  | { readonly type: 'cut'; readonly atUs: Micros; readonly from: string; readonly to: string }
  | { readonly type: 'heal'; readonly atUs: Micros }
  | { readonly type: 'begins' | 'ends'; readonly atUs: Micros; readonly who: string; readonly what: OutageType };
