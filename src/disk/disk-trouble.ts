import type { RingFile } from './ring-file.js';

/** What a rehearsal makes of a disk: slower syncs, or writes that fail as on a full one. */
export type DiskTrouble = {
  readonly delayMillis: number;
  readonly fails: boolean;
};

export const noTrouble: DiskTrouble = { delayMillis: 0, fails: false };

/** A file whose disk is in trouble whenever `trouble` says so. */
export const troubledFile = (file: RingFile, trouble: () => DiskTrouble): RingFile => ({
  ...file,
  write: (offset, bytes) => (trouble().fails ? Promise.reject(new Error('ENOSPC: no space is left')) : file.write(offset, bytes)),
  sync: async () => {
    const { delayMillis } = trouble();
    if (delayMillis > 0) await new Promise((resolve) => setTimeout(resolve, delayMillis));
    await file.sync();
  },
});
