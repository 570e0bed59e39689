import type { Micros } from '../../common/micros.js';
import type { Original } from './original.js';
import type { Setup } from './setup.js';
import type { WarmupEpoch } from './warmup-epoch.js';

/** A committed setup with its revision, which increases with every committed change. */
export type SetupRecord = {
  readonly revision: number;
  readonly takenAtUs: Micros;
  readonly setup: Setup;
  readonly original?: Original;
  /** All warm-up parameters with their start times, oldest first, so that a change never moves an existing booking. */
  readonly epochs: readonly WarmupEpoch[];
};
