/** The operator's document from which a setup was converted: its version at the operator, and its unchanged text. */
export type Original = {
  readonly version: number;
  readonly text: string;
};
