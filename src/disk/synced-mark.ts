import { decodeRecord, encodeRecord } from './record-format.js';

/** Marks a record as synced, together with all records before it in its generation. */
export type SyncedMark = {
  readonly generation: number;
  readonly sequence: number;
};

const markOffsets = [64, 128] as const;

/** The slot of a mark. Marks alternate between two slots, so that a torn write leaves the previous mark intact. */
export const markOffsetOf = (sequence: number): number => markOffsets[sequence % 2 === 0 ? 0 : 1];

export const encodeMark = (mark: SyncedMark): Buffer =>
  encodeRecord(mark.generation, mark.sequence, Buffer.from('synced'));

/** The latest valid mark of a file; undefined if it has none. */
export const latestMark = (file: Buffer): SyncedMark | undefined =>
  markOffsets
    .map((offset) => decodeRecord(file, offset))
    .filter((record) => record !== undefined)
    .sort((left, right) => right.generation - left.generation || right.sequence - left.sequence)[0];
