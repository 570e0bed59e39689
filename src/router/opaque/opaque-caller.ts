import type { ReceiptHead } from './receipt-head.js';

/** Writes the response of an opaque exchange, whose body the router does not parse. `end` or `sendResponse` completes it. */
export type OpaqueCaller = {
  /** Writes the status and headers of a streamed response. */
  readonly begin: (head: ReceiptHead) => void;
  /** Writes body bytes; false if the buffer is full and the writer should wait for `onDrain`. */
  readonly write: (bytes: Uint8Array) => boolean;
  /** Registers a callback for when the buffer has drained. */
  readonly onRoom: (callback: () => void) => void;
  readonly end: () => void;
  /** Sends a complete response at once. */
  readonly whole: (head: ReceiptHead, body: Uint8Array) => void;
};
