import type { Access } from '../access/access.js';
import type { OpaqueExchange } from '../opaque/opaque-exchange.js';
import type { Micros } from '../../common/micros.js';
import type { Rule } from '../../setup/document/rule.js';
import type { ClientLink } from '../delivery/client-link.js';
import type { ExchangeMonitor } from '../guarantees/exchange-monitor.js';
import type { StreamPosition } from '../event-stream/stream-position.js';
import type { SlabHandle } from '../slab/slab-handle.js';
import type { ErrorResponse } from './error-response.js';
import type { ExchangeBody } from './exchange-body.js';
import type { QuotaHold } from './quota-hold.js';
import type { RunningAttempt } from './running-attempt.js';

/** The state of an exchange in flight, kept until its response is complete. An exchange is one client request with its response. */
export type Continuation = {
  readonly handle: SlabHandle;
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
  readonly client: ClientLink;
  /** Checks the guarantees on the answer and the attempts of this exchange; it wraps `client`. */
  readonly watch: ExchangeMonitor;
  /** The hash of the idempotency key that was claimed for it, if any. */
  readonly claimedKey: string | undefined;
  /** The state of the response. */
  readonly stream: {
    /** The number of pieces that were forwarded. */
    pieces: number;
    running: RunningAttempt | undefined;
    /** When the running attempt counts as silent unless another piece arrives. */
    dueUs: Micros;
    /** Where the forwarded events of an opaque stream end. */
    position: StreamPosition;
    /** The last complete error response of a server. */
    errorResponse: ErrorResponse | undefined;
  };
};
