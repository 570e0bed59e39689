import type { Micros } from '../../common/micros.js';

/** What a leader knows of one other machine. */
export type Progress = {
  readonly next: number;
  readonly match: number;
  readonly heardUs: Micros;
  readonly heardRound: number;
  /** Until when no more entries are sent without word back. */
  readonly pausedUntilUs: Micros;
};
