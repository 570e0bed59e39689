/** The settings that every process has. */
export type NodeSettings = {
  readonly node: string;
  readonly locality: string;
  /** Where callers, operators and the platform reach it. */
  readonly http: string;
  /** Where its partners reach it. */
  readonly partners: string;
  /** Where it listens for them, if an address translation stands before it. */
  readonly partnersListen?: string;
  readonly seeds: readonly string[];
};
