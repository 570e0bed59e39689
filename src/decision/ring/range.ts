import type { ServerKey } from '../../servers/list/server-key.js';
import type { Position } from './position.js';

/** An arc of the ring that changes its owner: the positions after `after`, up to and including `upTo`, around the ring. */
export type Range = {
  readonly after: Position;
  readonly upTo: Position;
  readonly from: ServerKey | undefined;
  readonly to: ServerKey;
};

export const rangeContains = (range: Range, position: Position): boolean =>
  range.after < range.upTo
    ? position > range.after && position <= range.upTo
    : position > range.after || position <= range.upTo;

/** The range that contains a position, by binary search; `ranges` must not overlap and must be sorted by `upTo`. */
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
  return range !== undefined && rangeContains(range, position) ? range : undefined;
};
