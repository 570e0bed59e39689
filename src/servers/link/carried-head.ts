import type { ServerLoad } from '../../decision/health/server-load.js';
import type { ReceiptHead } from '../../router/opaque/receipt-head.js';

/** What the beginning of a server's receipt says of the exchange. */
export type CarriedHead = ReceiptHead & {
  /** False only where the server vouches that the exchange did not run and never will. */
  readonly ran: boolean;
  /** Whether it bears the server's mark, without which no success counts. */
  readonly sealed: boolean;
  /** Its load, where the server tells it. */
  readonly load?: ServerLoad;
};
