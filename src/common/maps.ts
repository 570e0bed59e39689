export const withEntry = <K, V>(entries: ReadonlyMap<K, V>, key: K, value: V): ReadonlyMap<K, V> => {
  const changedEntries = new Map(entries);
  changedEntries.set(key, value);
  return changedEntries;
};

export const withoutEntry = <K, V>(entries: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> => {
  if (!entries.has(key)) return entries;
  const changedEntries = new Map(entries);
  changedEntries.delete(key);
  return changedEntries;
};
