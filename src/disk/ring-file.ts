/** A preallocated file of the ring. */
export type RingFile = {
  /** The path, for error messages. */
  readonly name?: string;
  /** In bytes; fixed. */
  readonly size: number;
  readonly read: () => Promise<Buffer>;
  readonly write: (offset: number, bytes: Uint8Array) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly close: () => Promise<void>;
};
