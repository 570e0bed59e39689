import type { Micros } from '../../../common/micros.js';
import type { ErrorType } from '../../../common/error-type.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { Reason } from './reason.js';

/** What the decision machine decides; its only effects. */
export type Decision =
  | {
      readonly type: 'deliver';
      readonly exchange: string;
      readonly attempt: number;
      readonly server: ServerKey;
      readonly fromPiece: number;
      readonly extra: boolean;
      /** What the server has to read, in tokens, as far as is known. */
      readonly tokens?: number;
      /** For how long the server then reads, as far as is known. */
      readonly busyUs?: Micros;
      readonly urgency?: number;
      readonly reason: Reason;
    }
  | {
      readonly type: 'hold';
      readonly exchange: string;
      readonly behind: string;
      readonly server: ServerKey;
      readonly untilUs: Micros;
      readonly reason: Reason;
    }
  | { readonly type: 'cancel'; readonly exchange: string; readonly attempt: number }
  | { readonly type: 'refuse'; readonly exchange: string; readonly error: ErrorType; readonly retryAfterUs: Micros }
  | { readonly type: 'unknown'; readonly exchange: string; readonly error: ErrorType }
  | { readonly type: 'breakOff'; readonly exchange: string; readonly error: ErrorType }
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
