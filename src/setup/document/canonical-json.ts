/** Whether JSON omits the value from an object and writes it as null in a list. */
const isOmitted = (value: unknown): boolean =>
  value === undefined || typeof value === 'function' || typeof value === 'symbol';

const sortedText = (value: unknown): string => {
  if (isOmitted(value)) return 'null';
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  if (Array.isArray(value)) return `[${value.map(sortedText).join(',')}]`;
  const fields = new Map<string, unknown>(Object.entries(value));
  const keys = [...fields.keys()].sort();
  const texts: string[] = [];
  for (const key of keys) {
    const field = fields.get(key);
    if (!isOmitted(field)) texts.push(`${JSON.stringify(key)}:${sortedText(field)}`);
  }
  return `{${texts.join(',')}}`;
};

/** The JSON of a value with sorted keys: equal for equal values, regardless of the order of their keys. */
export const sortedJson = (value: object): string => sortedText(value);

const sortedTextCache = new WeakMap<object, string>();

/** The JSON with sorted keys of an immutable object; cached for the lifetime of the object. */
export const canonicalJson = (value: object): string => {
  const cachedText = sortedTextCache.get(value);
  if (cachedText !== undefined) return cachedText;
  const text = sortedJson(value);
  sortedTextCache.set(value, text);
  return text;
};

const itemTextCache = new WeakMap<object, string>();

/**
 * The JSON of an immutable object with its keys in their given order; cached. Nodes pass copies of an item on without
 * changing the order of its keys. Equal items with another order of keys have different texts, so they are treated as
 * changed, which costs work but is never an error.
 */
export const itemJson = (value: object): string => {
  const cachedText = itemTextCache.get(value);
  if (cachedText !== undefined) return cachedText;
  const text = JSON.stringify(value);
  itemTextCache.set(value, text);
  return text;
};
