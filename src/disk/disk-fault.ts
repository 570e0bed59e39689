import { delay } from '../common/clock/delay.js';
import { monotonicClock } from '../common/clock/monotonic-clock.js';
import type { Micros } from '../common/micros.js';
import type { RingFile } from './ring-file.js';

/** A disk fault that a rehearsal injects: slow syncs, or writes that fail as on a full disk. */
export type DiskFault = {
  readonly delayUs: Micros;
  readonly fails: boolean;
};

export const noDiskFault: DiskFault = { delayUs: 0, fails: false };

/** Wraps a file so that its writes and syncs suffer the fault that `trouble` returns at the time of the call. */
export const withDiskFault = (file: RingFile, trouble: () => DiskFault): RingFile => ({
  ...file,
  write: (offset, bytes) =>
    trouble().fails ? Promise.reject(new Error('ENOSPC: no space left on device')) : file.write(offset, bytes),
  sync: async () => {
    const { delayUs } = trouble();
    if (delayUs > 0) await delay(monotonicClock, delayUs);
    await file.sync();
  },
});
