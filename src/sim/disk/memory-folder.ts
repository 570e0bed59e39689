import type { RandomSource } from '../../common/random.js';
import type { DataFile, DataFolder } from '../../disk/data-folder.js';
import { applyWriteFate, type UnsyncedWrite, type WriteFates } from './write-fate.js';

/** A data folder in memory, which keeps what was synced apart from what was only done. */
export type MemoryFolder = DataFolder & {
  /**
   * What a loss of power leaves. A file that was made since the last sync of the folder is there or not, one that was emptied and not
   * synced since may be as it was, and of each unsynced write there is what its fate leaves.
   */
  readonly afterPowerLoss: (chance: RandomSource, fates: WriteFates) => MemoryFolder;
};

type MemoryFile = {
  synced: Buffer;
  readonly unsynced: UnsyncedWrite[];
  /** What it held before it was emptied; undefined once it was synced, or where nothing was there. */
  former: Buffer | undefined;
  /** Whether the folder was synced since it was made. */
  isInFolder: boolean;
};

const chanceKept = 0.5;

const endOf = ({ offset, bytes }: UnsyncedWrite): number => offset + bytes.length;

/** The bytes of a file with room for some writes behind them. */
const extended = (bytes: Buffer, writes: readonly UnsyncedWrite[]): Buffer => {
  const target = Buffer.alloc(Math.max(bytes.length, ...writes.map(endOf)));
  bytes.copy(target);
  return target;
};

const written = (bytes: Buffer, writes: readonly UnsyncedWrite[]): Buffer => {
  const target = extended(bytes, writes);
  for (const write of writes) write.bytes.copy(target, write.offset);
  return target;
};

const contentOf = ({ synced, unsynced }: MemoryFile): Buffer => written(synced, unsynced);

const syncFile = (file: MemoryFile): void => {
  file.synced = contentOf(file);
  file.unsynced.length = 0;
  file.former = undefined;
};

const dataFileOver = (file: MemoryFile): DataFile => ({
  read: () => Promise.resolve(contentOf(file)),
  write: (offset, bytes) => {
    file.unsynced.push({ offset, bytes: Buffer.from(bytes) });
    return Promise.resolve();
  },
  sync: () => {
    syncFile(file);
    return Promise.resolve();
  },
  close: () => Promise.resolve(),
});

/** What a loss of power leaves of a file; undefined where it is gone. */
const leftOf = (file: MemoryFile, chance: RandomSource, fates: WriteFates): Buffer | undefined => {
  if (!file.isInFolder && chance() >= chanceKept) return undefined;
  if (file.former !== undefined && chance() >= chanceKept) return file.former;
  const reached = file.unsynced
    .map((write) => ({ write, fate: fates(write) }))
    .filter(({ fate }) => fate.type !== 'lost');
  const left = extended(
    file.synced,
    reached.map(({ write }) => write),
  );
  for (const { write, fate } of reached) applyWriteFate(left, write, fate);
  return left;
};

const folderOf = (files: Map<string, MemoryFile>): MemoryFolder => ({
  make: () => Promise.resolve(),
  sizes: () => Promise.resolve(new Map([...files].map(([name, file]) => [name, contentOf(file).length]))),
  open: (name) => {
    const file = files.get(name);
    return file === undefined ? Promise.reject(new Error(`${name} is missing`)) : Promise.resolve(dataFileOver(file));
  },
  create: (name) => {
    const known = files.get(name);
    const file: MemoryFile = {
      synced: Buffer.alloc(0),
      unsynced: [],
      former: known === undefined ? undefined : contentOf(known),
      isInFolder: known?.isInFolder ?? false,
    };
    files.set(name, file);
    return Promise.resolve(dataFileOver(file));
  },
  sync: () => {
    for (const file of files.values()) file.isInFolder = true;
    return Promise.resolve();
  },
  pathOf: (name) => name,
  afterPowerLoss: (chance, fates) => {
    const left = new Map<string, MemoryFile>();
    for (const [name, file] of files) {
      const bytes = leftOf(file, chance, fates);
      if (bytes !== undefined) left.set(name, { synced: bytes, unsynced: [], former: undefined, isInFolder: true });
    }
    return folderOf(left);
  },
});

/** Opens an empty folder. */
export const openMemoryFolder = (): MemoryFolder => folderOf(new Map());
