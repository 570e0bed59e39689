import type { Micros } from '../../common/micros.js';

/** What one caller may send, and how long it may take. */
export type CallerLimits = {
  readonly headBytes: number;
  readonly bodyBytes: number;
  readonly headUs: Micros;
  readonly idleUs: Micros;
};
