/** One preallocated file of the ring, as the ring needs it. */
export type RingFile = {
  /** Its path, for errors. */
  readonly name?: string;
  readonly size: number;
  readonly read: () => Promise<Buffer>;
  readonly write: (offset: number, bytes: Uint8Array) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly close: () => Promise<void>;
};
