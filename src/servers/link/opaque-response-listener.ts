import type { OpaqueResponseHead } from './opaque-response-head.js';

/** Callbacks of a link for the response to one opaque exchange. Unless it is cancelled, the last call is `end` or `lost`, once. */
export type OpaqueResponseListener = {
  readonly head: (head: OpaqueResponseHead) => void;
  /** The next bytes of the body. */
  readonly data: (bytes: Buffer) => void;
  /** The response is complete. */
  readonly end: () => void;
  /** The response broke off or is invalid; the link is closed. */
  readonly lost: (message: string) => void;
};
