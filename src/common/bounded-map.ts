import { List } from 'immutable';
import { emptyMap, type PersistentMap } from './persistent-map.js';

/**
 * A persistent map of bounded size that forgets its oldest keys first. A change costs O(log n) and leaves the former
 * map as it was.
 */
export type BoundedMap<K, V> = {
  readonly entries: PersistentMap<K, V>;
  /** Every key once, in the order in which the keys came. */
  readonly order: List<K>;
};

/** A map after a change, and the entries that had to be forgotten for it. */
export type BoundedChange<K, V> = {
  readonly map: BoundedMap<K, V>;
  readonly evicted: readonly (readonly [K, V])[];
};

export const emptyBoundedMap = <K, V>(): BoundedMap<K, V> => ({ entries: emptyMap<K, V>(), order: List<K>() });

/** Sets an entry; a key that is there already keeps its place in the order. */
export const remember = <K, V>(map: BoundedMap<K, V>, key: K, value: V, capacity: number): BoundedChange<K, V> => {
  const isKnown = map.entries.has(key);
  const longerMap: BoundedMap<K, V> = {
    entries: map.entries.set(key, value),
    order: isKnown ? map.order : map.order.push(key),
  };
  return longerMap.order.size > capacity ? withoutOldest(longerMap) : { map: longerMap, evicted: [] };
};

const withoutOldest = <K, V>(map: BoundedMap<K, V>): BoundedChange<K, V> => {
  const oldestKey = map.order.first();
  if (oldestKey === undefined) return { map, evicted: [] };
  const oldestValue = map.entries.get(oldestKey);
  return {
    map: { entries: map.entries.delete(oldestKey), order: map.order.shift() },
    evicted: oldestValue === undefined ? [] : [[oldestKey, oldestValue]],
  };
};

/** All entries, oldest first. */
export const entriesInOrder = <K, V>(map: BoundedMap<K, V>): readonly (readonly [K, V])[] =>
  map.order.toArray().flatMap((key) => {
    const value = map.entries.get(key);
    return value === undefined ? [] : [[key, value] as const];
  });

/** Builds a map of entries that are given oldest first. */
export const boundedMapOf = <K, V>(entries: readonly (readonly [K, V])[]): BoundedMap<K, V> =>
  entries.reduce<BoundedMap<K, V>>(
    (map, [key, value]) => ({ entries: map.entries.set(key, value), order: map.order.push(key) }),
    emptyBoundedMap(),
  );
