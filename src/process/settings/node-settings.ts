/** The settings that every process has. */
export type NodeSettings = {
  readonly node: string;
  readonly locality: string;
  /** Where callers, operators and the platform reach it. */
  readonly http: string;
  /** Where its partners reach it. */
  readonly partners: string;
  readonly seeds: readonly string[];
};
