/** A read that waits until a majority has confirmed the leader after it began. */
export type PendingRead = {
  readonly requestId: string;
  /** The proposal that is asked after, if any. */
  readonly proposal: string | undefined;
  readonly round: number;
  readonly index: number;
};
