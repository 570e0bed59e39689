import type { ByteAccount } from '../../common/memory/byte-account.js';

/**
 * The memory for bytes of responses that the process can not pass on yet: incomplete events, responses that are held back so that
 * they can be retried, error responses kept for a last answer, and what slow clients have not read.
 */
export type ResponseMemory = ByteAccount & {
  /** The largest event that is passed on; nothing of an event is passed on before it is complete. */
  readonly maxEventBytes: number;
};
