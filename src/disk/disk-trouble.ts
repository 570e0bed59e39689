import { paused } from '../common/clock/paused.js';
import { steadyClock } from '../common/clock/steady-clock.js';
import type { Micros } from '../common/micros.js';
import type { RingFile } from './ring-file.js';

/** What a rehearsal makes of a disk: slower syncs, or writes that fail as on a full one. */
export type DiskTrouble = {
  readonly delayUs: Micros;
  readonly fails: boolean;
};

export const noTrouble: DiskTrouble = { delayUs: 0, fails: false };

/** A file whose disk is in trouble whenever `trouble` says so. */
export const troubledFile = (file: RingFile, trouble: () => DiskTrouble): RingFile => ({
  ...file,
  write: (offset, bytes) =>
    trouble().fails ? Promise.reject(new Error('ENOSPC: no space is left')) : file.write(offset, bytes),
  sync: async () => {
    const { delayUs } = trouble();
    if (delayUs > 0) await paused(steadyClock, delayUs);
    await file.sync();
  },
});
