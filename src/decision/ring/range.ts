import type { ServerKey } from '../../servers/list/server-key.js';
import type { Position } from './position.js';

/** An arc of the ring that changes its owner; it holds the positions after `after` up to `upTo`. */
export type Range = {
  readonly after: Position;
  readonly upTo: Position;
  readonly from: ServerKey | undefined;
  readonly to: ServerKey;
};

export const rangeHolds = (range: Range, position: Position): boolean =>
  range.after < range.upTo
    ? position > range.after && position <= range.upTo
    : position > range.after || position <= range.upTo;
