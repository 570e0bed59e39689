import type { Micros } from '../../common/micros.js';
import type { Position } from '../ring/position.js';

/** How hot one opening is in a node's own traffic. */
export type HotPrefix = {
  readonly position: Position;
  readonly service: string;
  /** The place of the best tier that asked for it; 0 is the first tier. */
  readonly tierPlace: number;
  readonly score: number;
  readonly scoredAtUs: Micros;
};
