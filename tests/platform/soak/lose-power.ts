import { closeSync, openSync, readSync, readdirSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { randomBelow, type RandomSource } from '../../../src/common/random.js';
import { firstRecordOffset } from '../../../src/disk/record-format.js';
import { markOffsetOf, latestMark } from '../../../src/disk/synced-mark.js';

/** The room of one mark. */
const markBytes = 64;

/** What a loss of power leaves of an unsynced write over former bytes: all of it, nothing, or a torn part of it. */
const tornOver = (chance: RandomSource, written: Buffer): Buffer => {
  const left = Buffer.from(written);
  left.fill(0, randomBelow(chance, written.length + 1));
  return left;
};

const loseMark = (path: string, chance: RandomSource): void => {
  const file = openSync(path, 'r+');
  try {
    const start = Buffer.alloc(firstRecordOffset);
    readSync(file, start, 0, start.length, 0);
    const mark = latestMark(start);
    if (mark === undefined) return;
    const offset = markOffsetOf(mark.sequence);
    writeSync(file, tornOver(chance, start.subarray(offset, offset + markBytes)), 0, markBytes, offset);
  } finally {
    closeSync(file);
  }
};

/**
 * Makes of a data folder whose process has ended what a loss of power may leave of it: of the newest mark in each ring file,
 * which no sync has covered yet, a part at most is there. Whether the newest record was synced can not be told from
 * outside, so it stays.
 */
export const losePowerIn = (folder: string, chance: RandomSource): void => {
  for (const name of readdirSync(folder)) if (name.endsWith('.bin')) loseMark(join(folder, name), chance);
};
