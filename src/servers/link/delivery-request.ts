/** An exchange as it is sent to a server, as JSON, in the router's own protocol. */
export type DeliveryRequest = {
  readonly exchange: string;
  readonly service: string;
  readonly kind: string;
  readonly opening: string;
  readonly text: string;
  /** The first piece to send; above 0 if a stream is resumed. */
  readonly fromPiece: number;
  /** The tenant of the client, if any. */
  readonly tenant?: string | undefined;
};
