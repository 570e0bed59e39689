import { Map as HashMap, OrderedMap } from 'immutable';

/** A map whose changes make a new map and share what stays; its older forms stay as they are. */
export type PersistentMap<K, V> = HashMap<K, V>;

export const emptyMap = <K, V>(): PersistentMap<K, V> => HashMap<K, V>();

/** One that is walked in the order in which its keys came. */
export const emptyOrderedMap = <K, V>(): PersistentMap<K, V> => OrderedMap<K, V>();
