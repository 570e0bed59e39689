/** The sizes of a ring. */
export type RingSizes = {
  readonly files: number;
  readonly fileBytes: number;
};
