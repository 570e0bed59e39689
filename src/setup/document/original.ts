/** The operator's own document, of which a setup was made: its version there, and its text as it was sent. */
export type Original = {
  readonly version: number;
  readonly text: string;
};
