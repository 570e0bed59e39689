/** The number of files in a ring, and the size of each. */
export type RingSizes = {
  readonly files: number;
  readonly fileBytes: number;
};
