/** What JSON leaves out of an object, and writes as null in a list. */
const isLeftOut = (value: unknown): boolean =>
  value === undefined || typeof value === 'function' || typeof value === 'symbol';

const orderedText = (value: unknown): string => {
  if (isLeftOut(value)) return 'null';
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  if (Array.isArray(value)) return `[${value.map(orderedText).join(',')}]`;
  const fields = new Map<string, unknown>(Object.entries(value));
  const keys = [...fields.keys()].sort();
  const texts: string[] = [];
  for (const key of keys) {
    const field = fields.get(key);
    if (!isLeftOut(field)) texts.push(`${JSON.stringify(key)}:${orderedText(field)}`);
  }
  return `{${texts.join(',')}}`;
};

/** A value as JSON with its keys in order: equal for equal values, whatever order their keys came in. */
export const orderedJson = (value: object): string => orderedText(value);

const knownTexts = new WeakMap<object, string>();

/** The ordered JSON of an object that never changes: worked out once, and kept as long as the object lives. */
export const canonicalText = (value: object): string => {
  const knownText = knownTexts.get(value);
  if (knownText !== undefined) return knownText;
  const text = orderedJson(value);
  knownTexts.set(value, text);
  return text;
};

const knownItemTexts = new WeakMap<object, string>();

/**
 * The JSON of an object that never changes, with its keys as they came: worked out once. Copies of one item keep the
 * order of its keys on every way between nodes; of two items that differ in nothing else the texts differ, which costs
 * a comparison, never an error.
 */
export const itemText = (value: object): string => {
  const knownText = knownItemTexts.get(value);
  if (knownText !== undefined) return knownText;
  const text = JSON.stringify(value);
  knownItemTexts.set(value, text);
  return text;
};
