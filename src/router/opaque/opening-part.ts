/** One part of a prompt prefix, which other exchanges may share, and its size in tokens. */
export type OpeningPart = {
  readonly part: string;
  readonly tokens: number;
};
