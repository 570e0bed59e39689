/** The numbers that a JSON document has under some names. */
export const readNumbers = <Name extends string>(
  value: unknown,
  names: readonly Name[],
): Partial<Record<Name, number>> => {
  const found: Partial<Record<Name, number>> = {};
  if (typeof value !== 'object' || value === null) return found;
  const entries = new Map<string, unknown>(Object.entries(value));
  for (const name of names) {
    const entry = entries.get(name);
    if (typeof entry === 'number') found[name] = entry;
  }
  return found;
};
