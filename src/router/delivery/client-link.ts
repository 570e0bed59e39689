import type { OpaqueResponseWriter } from '../opaque/opaque-response-writer.js';
import type { TypedError } from '../../common/typed-error.js';
import type { Micros } from '../../common/micros.js';

/**
 * The response side of one exchange, towards the client that sent the request. One of `end`, `sendResponse`, `refuse`,
 * `answerUnknown` and `abort` completes the response.
 */
export type ClientLink = {
  /** Set where the response is forwarded unparsed; used instead of `writePiece`, `end` and `sendResponse`. */
  readonly opaque?: OpaqueResponseWriter;
  readonly isGone: () => boolean;
  /** Registers a callback for a client that disconnects before the response is complete. */
  readonly onGone: (callback: () => void) => void;
  /** Writes one line of a streamed response and waits for backpressure; false if the client has disconnected. */
  readonly piece: (exchange: string, line: string) => Promise<boolean>;
  /** Completes a streamed response of `pieces` pieces. */
  readonly end: (exchange: string, pieces: number) => void;
  /** Sends a complete response that is not streamed. */
  readonly receipt: (exchange: string, text: string) => void;
  /** Answers that the exchange did not run and never will. */
  readonly refuse: (error: TypedError, exchange?: string, retryAfterUs?: Micros) => void;
  /** Answers that the exchange may have run. */
  readonly unknown: (error: TypedError, facts: Readonly<Record<string, string>>) => void;
  /** Aborts the response so that the client sees it as incomplete. */
  readonly breakOff: () => void;
};
