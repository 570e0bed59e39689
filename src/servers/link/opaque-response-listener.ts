import type { OpaqueResponseHead } from './opaque-response-head.js';

/** Callbacks of a link for the response to one opaque exchange. Unless it is cancelled, the last call is `end` or `lost`, once. */
export type OpaqueResponseListener = {
  readonly head: (head: OpaqueResponseHead) => void;
  /** Bytes to pass on unchanged. If the response is an event stream, they are one whole event and `number` is its numeric `id`. */
  readonly piece: (bytes: Uint8Array, number: number | undefined) => void;
  /** The response is complete. */
  readonly end: () => void;
  /** The response broke off or is invalid; the link is closed. */
  readonly lost: (message: string) => void;
};
