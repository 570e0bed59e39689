import type { Micros } from '../common/micros.js';

/** How far the use of the whole fleet may exceed a quota within one window. */
export type QuotaTolerance = {
  /** Length of the sliding window over which use is counted. */
  readonly windowUs: Micros;
  /** Permitted excess as a fraction of what the window allows. */
  readonly excess: number;
  /** Permitted excess in addition to that, in units of the quota. */
  readonly margin: number;
};

export const defaultTolerance: QuotaTolerance = { windowUs: 1_000_000, excess: 0.1, margin: 0 };
