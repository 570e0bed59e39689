import type { Micros } from '../../common/micros.js';

/** One node's state in the election of the poller, the node that polls the platform. All times are of its monotonic clock. */
export type PollerView = {
  /** Key of this node among pollers; see `pollerKeyOf`. */
  readonly key: string;
  /** Delay after which this node takes over from a lost poller. It differs per node, so that one node takes over first. */
  readonly takeoverDelayUs: Micros;
  /** Time between the starts of two polls. */
  readonly spanUs: Micros;
  /** Time of the last event. */
  readonly atUs: Micros;
  /** When this node began to wait for a first reading, after a start or a pause. */
  readonly sinceUs: Micros;
  /** When the latest known reading began. */
  readonly latestReadingUs: Micros | undefined;
  /** Whether this node is the poller. */
  readonly isPoller: boolean;
  /** When the poll under way began. */
  readonly askedUs: Micros | undefined;
  /** This node starts no poll before this time. */
  readonly earliestPollUs: Micros;
  /** Polls that failed in a row, for the backoff. */
  readonly consecutiveErrors: number;
};
