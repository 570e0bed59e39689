/** Receives the response of one attempt while it runs. */
export type DeliveryListener = {
  /** One line of the stream; resolves to false if the attempt should stop reading. */
  readonly piece: (line: string) => Promise<boolean>;
  /** The whole response of a server that does not stream. */
  readonly receipt: (text: string) => void;
};
