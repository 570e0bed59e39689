import type { PersistentMap } from './persistent-map.js';

/** The keys of the `count` entries with the lowest rank, in ascending order of rank. */
export const lowestRankedKeys = <K, V>(
  entries: PersistentMap<K, V>,
  count: number,
  rankOf: (value: V) => number,
): readonly K[] =>
  [...entries]
    .map(([key, value]) => ({ key, rank: rankOf(value) }))
    .sort((left, right) => left.rank - right.rank)
    .slice(0, count)
    .map(({ key }) => key);
