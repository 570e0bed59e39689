import type { Micros } from '../../common/micros.js';

/** How far the transfer of one snapshot to a member has been acknowledged. */
export type SnapshotTransfer = {
  readonly index: number;
  /** The first character of the encoded snapshot that the member has not acknowledged. */
  readonly offset: number;
  /** When the member last made progress in it, or in the entries behind it. */
  readonly movedUs: Micros;
};

/** What a leader knows of one other machine. */
export type Progress = {
  readonly next: number;
  readonly match: number;
  readonly heardUs: Micros;
  readonly heardRound: number;
  /** Until when no more entries or snapshot pieces are sent unless the member makes progress. */
  readonly pausedUntilUs: Micros;
  /** How long to wait for progress after the next send; it doubles with each retransmission. */
  readonly retransmitTimeoutUs: Micros;
  /** The snapshot that is on its way; it stays until the member has caught up with the commit index. */
  readonly transfer?: SnapshotTransfer;
};
