/** What one seed of a simulated scenario came to. */
export type SimRun = {
  readonly broken: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
  /** What was done to the fleet, in order. */
  readonly faults: readonly string[];
};

/** A scenario in virtual time, played anew for every seed. */
export type SimScenario = {
  readonly name: string;
  readonly about: string;
  readonly play: (seed: number) => Promise<SimRun>;
};
