/** What a router asks a server to do. */
export type ServerOrder = {
  readonly exchange: string;
  readonly service: string;
  readonly kind: string;
  readonly opening: string;
  readonly text: string;
  readonly fromPiece: number;
  /** The tenant that the exchange comes from, if it comes from one. */
  readonly tenant?: string | undefined;
};
