/**
 * A linearizable read that waits until a majority has acknowledged a heartbeat round that began after it (read index).
 */
export type PendingRead = {
  readonly requestId: string;
  /** The proposal whose outcome is requested, if any. */
  readonly proposal: string | undefined;
  /** The heartbeat round that a majority must acknowledge. */
  readonly round: number;
  /** The commit index when the read arrived; it must be applied first. */
  readonly index: number;
};
