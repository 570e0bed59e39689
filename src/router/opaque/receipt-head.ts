/** Status and headers of an opaque response; `headers` alternates names and values. */
export type ReceiptHead = {
  readonly status: number;
  readonly headers: readonly string[];
};
