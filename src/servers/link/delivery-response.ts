/** A server's response; the body yields its chunks as they arrive and throws if the connection breaks. */
export type DeliveryResponse = {
  readonly status: number;
  readonly body: AsyncIterator<string>;
};
