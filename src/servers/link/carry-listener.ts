import type { CarriedHead } from './carried-head.js';

/** What a link tells while it carries an opaque exchange. The last word is `end` or `lost`, once. */
export type CarryListener = {
  readonly head: (head: CarriedHead) => void;
  /** Bytes to be given on as they are; a whole numbered piece where the receipt has such. */
  readonly piece: (bytes: Uint8Array, number: number | undefined) => void;
  /** The receipt is whole. */
  readonly end: () => void;
  readonly lost: (message: string) => void;
};
