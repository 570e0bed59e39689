import type { Frame } from './frame.js';

type Fields = ReadonlyMap<string, unknown>;
type Check = (value: unknown) => boolean;

const isNonNegativeInteger: Check = (value) => typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
const isName: Check = (value) => typeof value === 'string' && value !== '';
const isFlag: Check = (value) => typeof value === 'boolean';
const isOneOf =
  (...names: readonly unknown[]): Check =>
  (value) =>
    names.includes(value);
const orNone =
  (check: Check): Check =>
  (value) =>
    value === undefined || check(value);
const isListOf =
  (check: Check): Check =>
  (value) =>
    Array.isArray(value) && value.every(check);

const fieldsOf = (value: unknown): Fields | undefined =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? new Map<string, unknown>(Object.entries(value))
    : undefined;

const hasAll = (checks: Readonly<Record<string, Check>>): Check => {
  const entries = Object.entries(checks);
  return (value) => {
    const fields = fieldsOf(value);
    return fields !== undefined && entries.every(([name, check]) => check(fields.get(name)));
  };
};

const isPeer = hasAll({
  node: isName,
  role: isOneOf('router', 'control'),
  address: isName,
  http: isName,
  locality: isName,
});
const isUpdate = hasAll({
  partner: isPeer,
  incarnation: isNonNegativeInteger,
  state: isOneOf('alive', 'suspect', 'dead'),
});

const hasDigestForm = hasAll({
  type: isOneOf('digest'),
  partner: orNone(isPeer),
  incarnation: isNonNegativeInteger,
  revision: isNonNegativeInteger,
  version: isNonNegativeInteger,
  listDigest: orNone((value) => typeof value === 'string'),
  read: orNone(hasAll({ atUs: isNonNegativeInteger, by: isName })),
  platformUs: orNone((value) => Number.isInteger(value)),
  partners: isListOf(isUpdate),
  crowd: isNonNegativeInteger,
  whole: orNone(isFlag),
  asks: orNone(isOneOf('digest', 'whole')),
  crowds: orNone(isListOf(isNonNegativeInteger)),
  unknown: orNone(isFlag),
  inquiry: orNone((value) => Number.isInteger(value)),
});

/**
 * Validates a digest without a schema library: digests are by far the most frequent frames and may list the whole
 * membership.
 */
export const isDigest = (value: unknown): value is Extract<Frame, { readonly type: 'digest' }> => hasDigestForm(value);
