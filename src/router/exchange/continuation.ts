import type { Access } from '../access/access.js';
import type { OpaqueExchange } from '../opaque/opaque-exchange.js';
import type { ReceiptHead } from '../opaque/receipt-head.js';
import type { Micros } from '../../common/micros.js';
import type { Rule } from '../../setup/document/rule.js';
import type { CallerLink } from '../delivery/caller-link.js';
import type { WatchedCaller } from '../promises/watched-caller.js';
import type { Ticket } from '../slab/ticket.js';
import type { ExchangeBody } from './exchange-body.js';
import type { QuotaHold } from './quota-hold.js';
import type { RunningTry } from './running-try.js';

/** The state of an exchange in flight, kept until its response is complete. An exchange is one client request with its response. */
export type Continuation = {
  readonly ticket: Ticket;
  readonly exchange: string;
  readonly rule: Rule;
  readonly isModel: boolean;
  /** The API key of the request, and the result of authenticating it at admission. */
  readonly apiKey: string | undefined;
  readonly access: Access;
  readonly quota: QuotaHold;
  readonly body: ExchangeBody;
  readonly opaque: OpaqueExchange | undefined;
  /** When the exchange's time budget ends. */
  readonly dueUs: Micros;
  readonly caller: CallerLink;
  /** Checks the guarantees on the answer and the attempts of this exchange; it wraps `client`. */
  readonly watch: WatchedCaller;
  /** The hash of the idempotency key that was claimed for it, if any. */
  readonly claimedKey: string | undefined;
  /** The state of the response. */
  readonly stream: {
    /** The number of pieces that were forwarded. */
    pieces: number;
    running: RunningTry | undefined;
    /** When the running attempt counts as silent unless another piece arrives. */
    dueUs: Micros;
    /** The number of the last forwarded piece, if the server numbers its pieces. */
    lastPiece: number | undefined;
    /** The last complete error response of a server. */
    refusal: { readonly head: ReceiptHead; readonly body: Uint8Array } | undefined;
  };
};
