/** One fault of a checked document, named by the path at which it stands. */
export type Fault = {
  readonly path: string;
  readonly message: string;
};
