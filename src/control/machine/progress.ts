import type { Micros } from '../../common/micros.js';

/** How far the transfer of one snapshot to a member has been acknowledged. */
export type SnapshotTransfer = {
  readonly index: number;
  /** The first character of the encoded snapshot that the member has not acknowledged. */
  readonly offset: number;
  /** When the member last made progress in the transfer, or with the entries after the snapshot. */
  readonly lastProgressUs: Micros;
};

/** The replication progress of one other member, as its leader sees it. */
export type Progress = {
  /** The index of the next entry to send. */
  readonly next: number;
  /** The last index that is known to match the leader's log. */
  readonly match: number;
  /** When the member last replied. */
  readonly lastContactUs: Micros;
  /** The last heartbeat round that the member acknowledged. */
  readonly acknowledgedRound: number;
  /** Until when no further entries or snapshot pieces are sent, unless the member makes progress. */
  readonly pausedUntilUs: Micros;
  /** How long to wait for progress after the next send; doubles with each retransmission. */
  readonly retransmitTimeoutUs: Micros;
  /** The snapshot transfer in progress; present until the member has caught up with the commit index. */
  readonly transfer?: SnapshotTransfer;
};
