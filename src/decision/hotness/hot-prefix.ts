import type { Micros } from '../../common/micros.js';
import type { Position } from '../ring/position.js';

/** How often this router's own traffic used a prompt prefix, as an exponentially decaying score. */
export type HotPrefix = {
  readonly position: Position;
  readonly service: string;
  /** Index of the best tier that requested it; 0 is the first tier. */
  readonly tierIndex: number;
  readonly score: number;
  readonly scoredAtUs: Micros;
};
