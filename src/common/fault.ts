/** One validation error of a document, with the path of the offending field. */
export type Fault = {
  readonly path: string;
  readonly message: string;
};
