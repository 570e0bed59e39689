import type { Micros } from '../../common/micros.js';
import type { Share } from './share.js';

/** How exchanges of one kind are routed, prioritized and timed. */
export type Rule = {
  readonly kind: string;
  readonly service: string;
  /** A weighted split over several services; without it all exchanges go to `service`. */
  readonly split?: readonly Share[];
  /** The host and path prefix that select this rule for clients that send no kind. */
  readonly match?: { readonly host: string; readonly path: string };
  readonly tier: string;
  /** Whether requests need no API key even if the configuration has tenants. */
  readonly public?: boolean;
  /** Whether the work may run again after an attempt with an unknown outcome. */
  readonly repeatable: boolean;
  /** Whether a broken stream may be resumed at its next piece on another server. */
  readonly resumable: boolean;
  /** Whether the response is a stream of pieces; by default the type of the service decides. */
  readonly streams?: boolean;
  /** The maximum number of attempts of one exchange; unlimited if absent. */
  readonly mostTries?: number;
  /** The deadline of an exchange, over all attempts. */
  readonly budgetUs: Micros;
  /** A response, or its first piece, has its full worth within this time. */
  readonly targetUs?: Micros;
  /** The timeout for the first piece, after which a repeatable exchange is retried on another server. */
  readonly firstPieceUs: Micros;
  /** The timeout between two pieces of a stream, after which its server counts as failed for it. */
  readonly silenceUs: Micros;
};
