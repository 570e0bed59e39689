import { paused } from '../common/clock/paused.js';
import { steadyClock } from '../common/clock/steady-clock.js';
import type { Micros } from '../common/micros.js';
import type { RingFile } from './ring-file.js';

/** A disk fault that a rehearsal injects: slow syncs, or writes that fail as on a full disk. */
export type DiskTrouble = {
  readonly delayUs: Micros;
  readonly fails: boolean;
};

export const noTrouble: DiskTrouble = { delayUs: 0, fails: false };

/** Wraps a file so that its writes and syncs suffer the fault that `trouble` returns at the time of the call. */
export const troubledFile = (file: RingFile, trouble: () => DiskTrouble): RingFile => ({
  ...file,
  write: (offset, bytes) =>
    trouble().fails ? Promise.reject(new Error('ENOSPC: no space left on device')) : file.write(offset, bytes),
  sync: async () => {
    const { delayUs } = trouble();
    if (delayUs > 0) await paused(steadyClock, delayUs);
    await file.sync();
  },
});
