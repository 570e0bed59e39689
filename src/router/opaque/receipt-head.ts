/** The beginning of a receipt whose form only its server and its caller know; header names and values stand in turn. */
export type ReceiptHead = {
  readonly status: number;
  readonly headers: readonly string[];
};
