import { randomBelow, type RandomSource } from '../../common/random.js';

/** A write that no sync has covered yet. */
export type UnsyncedWrite = { readonly offset: number; readonly bytes: Buffer };

/** What a loss of power leaves of one unsynced write. */
export type WriteFate =
  | { readonly type: 'kept' }
  | { readonly type: 'lost' }
  /** Torn at a byte: only so many bytes from its start reached the disk. */
  | { readonly type: 'prefix'; readonly bytes: number }
  /** Torn at sectors: those of the disk's sectors that the test picks hold it, the others do not. */
  | { readonly type: 'sectors'; readonly holds: (sector: number) => boolean };

/** Decides the fate of each unsynced write by itself. */
export type WriteFates = (write: UnsyncedWrite) => WriteFate;

const sectorBytes = 512;

/** Copies what is left of a write into the bytes of its file. */
export const applyWriteFate = (target: Buffer, { offset, bytes }: UnsyncedWrite, fate: WriteFate): void => {
  if (fate.type === 'lost') return;
  if (fate.type !== 'sectors') {
    bytes.subarray(0, fate.type === 'kept' ? bytes.length : fate.bytes).copy(target, offset);
    return;
  }
  const endOffset = offset + bytes.length;
  for (let sector = Math.floor(offset / sectorBytes); sector * sectorBytes < endOffset; sector += 1) {
    if (!fate.holds(sector)) continue;
    const from = Math.max(sector * sectorBytes, offset);
    const to = Math.min((sector + 1) * sectorBytes, endOffset);
    bytes.subarray(from - offset, to - offset).copy(target, from);
  }
};

/** Every unsynced write is gone. */
export const allLost: WriteFates = () => ({ type: 'lost' });

const chanceOfAllLost = 0.2;

const drawnFate = (chance: RandomSource, { bytes }: UnsyncedWrite): WriteFate => {
  const draw = chance();
  if (draw < 0.3) return { type: 'kept' };
  if (draw < 0.6) return { type: 'lost' };
  if (draw < 0.8) return { type: 'prefix', bytes: randomBelow(chance, bytes.length) };
  return { type: 'sectors', holds: () => chance() < 0.5 };
};

/** The fates of one loss of power: at times every unsynced write is gone, else each is kept, lost or torn by itself. */
export const drawnWriteFates = (chance: RandomSource): WriteFates =>
  chance() < chanceOfAllLost ? allLost : (write) => drawnFate(chance, write);
