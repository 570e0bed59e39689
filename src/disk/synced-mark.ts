import { decodeRecord, encodeRecord } from './record-format.js';

/** Which record of which generation is known to be synced. */
export type SyncedMark = {
  readonly generation: number;
  readonly sequence: number;
};

const markOffsets = [64, 128] as const;

export const markOffsetOf = (sequence: number): number => markOffsets[sequence % 2 === 0 ? 0 : 1];

export const encodeMark = (mark: SyncedMark): Buffer =>
  encodeRecord(mark.generation, mark.sequence, Buffer.from('synced'));

/** The furthest mark of a file; a torn mark counts as none. */
export const readMark = (file: Buffer): SyncedMark | undefined =>
  markOffsets
    .map((offset) => decodeRecord(file, offset))
    .filter((record) => record !== undefined)
    .sort((left, right) => right.generation - left.generation || right.sequence - left.sequence)[0];
