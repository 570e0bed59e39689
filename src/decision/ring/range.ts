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

/** The range that holds a position, among ranges that do not overlap and stand in the order of their ends. */
export const rangeAt = (ranges: readonly Range[], position: Position): Range | undefined => {
  let lowIndex = 0;
  let highIndex = ranges.length;
  while (lowIndex < highIndex) {
    const middleIndex = (lowIndex + highIndex) >>> 1;
    const middleRange = ranges[middleIndex];
    if (middleRange !== undefined && middleRange.upTo < position) lowIndex = middleIndex + 1;
    else highIndex = middleIndex;
  }
  const range = ranges[lowIndex % Math.max(1, ranges.length)];
  return range !== undefined && rangeHolds(range, position) ? range : undefined;
};
