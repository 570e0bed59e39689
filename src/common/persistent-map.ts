import { Map as HashMap, OrderedMap } from 'immutable';

/** An immutable map with structural sharing: a change returns a new map and leaves the previous one unchanged. */
export type PersistentMap<K, V> = HashMap<K, V>;

export const emptyMap = <K, V>(): PersistentMap<K, V> => HashMap<K, V>();

/** An empty map that iterates in insertion order. */
export const emptyOrderedMap = <K, V>(): PersistentMap<K, V> => OrderedMap<K, V>();
