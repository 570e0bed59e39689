/** One shared part of an opening and its size in tokens. */
export type OpeningPart = {
  readonly part: string;
  readonly tokens: number;
};
