import type { Micros } from '../../../common/micros.js';
import type { ErrorType } from '../../../common/error-type.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { Reason } from './reason.js';

/** A decision of the machine; decisions are its only effects. Members are written out by name to traces and logs. */
export type Decision =
  /** Send the exchange to a server. */
  | {
      readonly type: 'deliver';
      readonly exchange: string;
      readonly attempt: number;
      readonly server: ServerKey;
      readonly fromPiece: number;
      /** Whether this attempt is a retry, which counts against the retry budget. */
      readonly extra: boolean;
      /** Tokens that the server has to prefill, if known. */
      readonly tokens?: number;
      /** Time until the server has finished its queued prefills, including this one, if known. */
      readonly busyUs?: Micros;
      readonly urgency?: number;
      readonly reason: Reason;
    }
  /** Wait for the first piece of the exchange `behind`, which is prefilling the same prefix, at most until `untilUs`. */
  | {
      readonly type: 'hold';
      readonly exchange: string;
      readonly behind: string;
      readonly server: ServerKey;
      readonly untilUs: Micros;
      readonly reason: Reason;
    }
  | { readonly type: 'cancel'; readonly exchange: string; readonly attempt: number }
  /** Final: nothing was run for the exchange, and nothing will be. */
  | { readonly type: 'refuse'; readonly exchange: string; readonly error: ErrorType; readonly retryAfterUs: Micros }
  /** Final: the exchange may have run. */
  | { readonly type: 'unknown'; readonly exchange: string; readonly error: ErrorType }
  /** Final: ends a stream that has started with a visible error. */
  | { readonly type: 'breakOff'; readonly exchange: string; readonly error: ErrorType }
  /** A joining server has a booking: its warm-up begins at `sinceUs`, and it enters the ring at `entryUs`. */
  | {
      readonly type: 'booked';
      readonly server: ServerKey;
      readonly service: string;
      readonly sinceUs: Micros;
      readonly entryUs: Micros;
      readonly ranges: number;
    }
  | { readonly type: 'entered'; readonly server: ServerKey; readonly service: string; readonly entryUs: Micros }
  | { readonly type: 'withdrawn'; readonly server: ServerKey; readonly service: string };
