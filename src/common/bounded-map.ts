import { List } from 'immutable';
import { emptyMap, type PersistentMap } from './persistent-map.js';

/**
 * A persistent map of bounded size with first-in, first-out eviction. A change costs O(log n) and returns a new map;
 * the previous map is unchanged.
 */
export type BoundedMap<K, V> = {
  readonly entries: PersistentMap<K, V>;
  /** Every key once, in insertion order. */
  readonly order: List<K>;
};

/** The map after a change, and the entries evicted by it. */
export type BoundedChange<K, V> = {
  readonly map: BoundedMap<K, V>;
  readonly evicted: readonly (readonly [K, V])[];
};

export const emptyBoundedMap = <K, V>(): BoundedMap<K, V> => ({ entries: emptyMap<K, V>(), order: List<K>() });

/**
 * Sets an entry. A new key is appended to the order and evicts the oldest key when the map is at its capacity; an
 * existing key keeps its position.
 */
export const setBounded = <K, V>(map: BoundedMap<K, V>, key: K, value: V, capacity: number): BoundedChange<K, V> => {
  const isKnown = map.entries.has(key);
  const updatedMap: BoundedMap<K, V> = {
    entries: map.entries.set(key, value),
    order: isKnown ? map.order : map.order.push(key),
  };
  return updatedMap.order.size > capacity ? withoutOldest(updatedMap) : { map: updatedMap, evicted: [] };
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

/** All entries in insertion order, oldest first. */
export const entriesInOrder = <K, V>(map: BoundedMap<K, V>): readonly (readonly [K, V])[] =>
  map.order.toArray().flatMap((key) => {
    const value = map.entries.get(key);
    return value === undefined ? [] : [[key, value] as const];
  });

/** Builds a map from entries in insertion order, oldest first; evicts none. */
export const boundedMapOf = <K, V>(entries: readonly (readonly [K, V])[]): BoundedMap<K, V> =>
  entries.reduce<BoundedMap<K, V>>(
    (map, [key, value]) => ({ entries: map.entries.set(key, value), order: map.order.push(key) }),
    emptyBoundedMap(),
  );
