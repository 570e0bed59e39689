import type { Micros } from '../../common/micros.js';
import type { Original } from './original.js';
import type { Setup } from './setup.js';
import type { WarmupEpoch } from './warmup-epoch.js';

/** A taken setup with its place in the control log. */
export type SetupRecord = {
  readonly revision: number;
  readonly takenAtUs: Micros;
  readonly setup: Setup;
  readonly original?: Original;
  /** The warm-up figures over time, oldest first, so that a change never moves a booking. */
  readonly epochs: readonly WarmupEpoch[];
};
