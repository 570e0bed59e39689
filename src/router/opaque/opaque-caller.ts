import type { ReceiptHead } from './receipt-head.js';

/** The way back for a receipt whose form only its server and its caller know. */
export type OpaqueCaller = {
  readonly begin: (head: ReceiptHead) => void;
  /** Gives bytes on; false when there is no more room for now. */
  readonly write: (bytes: Uint8Array) => boolean;
  readonly onRoom: (act: () => void) => void;
  readonly end: () => void;
  /** A whole receipt at once. */
  readonly whole: (head: ReceiptHead, body: Uint8Array) => void;
};
