import type { ResponseHead } from './response-head.js';

/** Writes the response of an opaque exchange, whose body the router does not parse. `end` or `sendResponse` completes it. */
export type OpaqueResponseWriter = {
  /** Writes the status and headers of a streamed response. */
  readonly writeHead: (head: ResponseHead) => void;
  /** Writes body bytes; false if the buffer is full and the writer should wait for `onDrain`. */
  readonly write: (bytes: Uint8Array) => boolean;
  /** Registers a callback for when the buffer has drained. */
  readonly onDrain: (callback: () => void) => void;
  /** The bytes that were written and that the client has not taken yet. */
  readonly pendingBytes: () => number;
  /** Drops what the client has not taken, so that it sees the response as incomplete. */
  readonly abort: () => void;
  readonly end: () => void;
  /** Sends a complete response at once. */
  readonly whole: (head: ResponseHead, body: Uint8Array) => void;
};
