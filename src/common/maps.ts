/** A copy of a map with one entry set. */
export const withEntry = <K, V>(entries: ReadonlyMap<K, V>, key: K, value: V): ReadonlyMap<K, V> => {
  const copy = new Map(entries);
  copy.set(key, value);
  return copy;
};

/** A copy of a map without one key; the same map if it lacks the key. */
export const withoutEntry = <K, V>(entries: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> => {
  if (!entries.has(key)) return entries;
  const copy = new Map(entries);
  copy.delete(key);
  return copy;
};
