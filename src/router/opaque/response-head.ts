/** Status and headers of an opaque response; `headers` alternates names and values. */
export type ResponseHead = {
  readonly status: number;
  readonly headers: readonly string[];
};
