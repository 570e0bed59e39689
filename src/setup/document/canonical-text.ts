const withOrderedKeys = (_key: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
    : value;

/** A value as JSON with its keys in order: equal for equal values, whatever order their keys came in. */
export const orderedJson = (value: object): string => JSON.stringify(value, withOrderedKeys);

const knownTexts = new WeakMap<object, string>();

/** The ordered JSON of an object that never changes: worked out once, and kept as long as the object lives. */
export const canonicalText = (value: object): string => {
  const knownText = knownTexts.get(value);
  if (knownText !== undefined) return knownText;
  const text = orderedJson(value);
  knownTexts.set(value, text);
  return text;
};
