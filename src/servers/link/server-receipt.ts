/** The beginning of a server's receipt; its body comes in chunks as they arrive. */
export type ServerReceipt = {
  readonly status: number;
  readonly body: AsyncIterator<string>;
};
