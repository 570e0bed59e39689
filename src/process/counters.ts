/** The metrics of a process, served at /counters. */
export type Counters = {
  readonly count: (name: string, by?: number) => void;
  /** Registers a gauge, whose value is computed by `read` each time the metrics are read. */
  readonly gauge: (name: string, read: () => number) => void;
  readonly read: () => Readonly<Record<string, number>>;
};

export const openCounters = (): Counters => {
  const counts = new Map<string, number>();
  const gauges = new Map<string, () => number>();
  return {
    count: (name, by = 1) => void counts.set(name, (counts.get(name) ?? 0) + by),
    gauge: (name, read) => void gauges.set(name, read),
    read: () =>
      Object.fromEntries(
        [...counts, ...[...gauges].map(([name, read]) => [name, read()] as const)].sort(([left], [right]) =>
          left < right ? -1 : 1,
        ),
      ),
  };
};
