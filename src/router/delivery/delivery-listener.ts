/** What a try tells while it runs. */
export type DeliveryListener = {
  readonly piece: (line: string) => Promise<boolean>;
  readonly receipt: (text: string) => void;
};
