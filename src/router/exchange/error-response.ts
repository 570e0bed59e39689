import type { ByteHold } from '../../common/memory/byte-account.js';
import type { ResponseHead } from '../opaque/response-head.js';

/** A complete error response of a server, kept as the answer in case that no further attempt succeeds. */
export type ErrorResponse = {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
  /** The memory of the body. */
  readonly hold: ByteHold;
};
