import type { PersistentMap } from './persistent-map.js';

/** The keys of the entries with the least figures, so many of them. */
export const leastKeys = <K, V>(
  entries: PersistentMap<K, V>,
  count: number,
  figureOf: (value: V) => number,
): readonly K[] =>
  [...entries]
    .map(([key, value]) => ({ key, figure: figureOf(value) }))
    .sort((left, right) => left.figure - right.figure)
    .slice(0, count)
    .map(({ key }) => key);
