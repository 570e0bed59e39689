import type { RingFile } from '../../disk/ring-file.js';
import { quietMemory, type MemoryTrouble } from './memory-trouble.js';
import { applyWriteFate, type UnsyncedWrite, type WriteFates } from './write-fate.js';

/** Files in memory that keep what was synced apart from what was only written. */
export type MemoryFiles = {
  readonly files: readonly RingFile[];
  /** What is left after power was lost: synced bytes, and of each unsynced write what its fate leaves. */
  readonly afterPowerLoss: (fates: WriteFates) => MemoryFiles;
  readonly bytesOf: (file: number) => Buffer;
  readonly counts: { writes: number; syncs: number };
  /** Lets the writes from a certain one on fail. */
  readonly failFrom: (write: number) => void;
};

export const openMemoryFiles = (
  count: number,
  size: number,
  start?: readonly Buffer[],
  trouble: () => MemoryTrouble = () => quietMemory,
): MemoryFiles => {
  const counts = { writes: 0, syncs: 0 };
  let failingWrite = Number.POSITIVE_INFINITY;
  const synced: Buffer[] = Array.from({ length: count }, (_, index) =>
    Buffer.from(start?.[index] ?? Buffer.alloc(size)),
  );
  const unsynced: UnsyncedWrite[][] = Array.from({ length: count }, () => []);
  const seen = (index: number): Buffer => {
    const bytes = Buffer.from(synced[index] ?? Buffer.alloc(size));
    for (const write of unsynced[index] ?? []) write.bytes.copy(bytes, write.offset);
    return bytes;
  };
  const files = Array.from({ length: count }, (_, index): RingFile => ({
    size,
    read: () => Promise.resolve(seen(index)),
    write: (offset, bytes) => {
      counts.writes += 1;
      if (counts.writes >= failingWrite || trouble().fails) return Promise.reject(new Error('no space is left'));
      unsynced[index]?.push({ offset, bytes: Buffer.from(bytes) });
      return Promise.resolve();
    },
    sync: async () => {
      counts.syncs += 1;
      const writes = unsynced[index] ?? [];
      const toSync = writes.length;
      await trouble().untilSynced(writes.some(({ offset }) => offset === 0));
      for (const write of writes.splice(0, toSync)) write.bytes.copy(synced[index] ?? Buffer.alloc(0), write.offset);
    },
    close: () => Promise.resolve(),
  }));
  return {
    files,
    counts,
    bytesOf: seen,
    failFrom: (write) => {
      failingWrite = write;
    },
    afterPowerLoss: (fates) => {
      const leftBytes = synced.map((bytes, index) => {
        const left = Buffer.from(bytes);
        for (const write of unsynced[index] ?? []) applyWriteFate(left, write, fates(write));
        return left;
      });
      return openMemoryFiles(count, size, leftBytes, trouble);
    },
  };
};
