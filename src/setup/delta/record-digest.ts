import { createHash } from 'node:crypto';
import { itemJson, sortedJson } from '../document/canonical-json.js';
import type { SetupRecord } from '../document/setup-record.js';

const digestCache = new WeakMap<SetupRecord, string>();

/** The parts of a record in a fixed order; each list is preceded by the number of its items. */
const partsOf = ({ revision, takenAtUs, setup, original, epochs }: SetupRecord): readonly string[] => {
  const { services, tiers, rules, tenants, ...figures } = setup;
  return [
    `${revision} ${takenAtUs}`,
    ...[services, tiers, rules, epochs].flatMap((items) => [`${items.length}`, ...items.map(itemJson)]),
    ...(tenants === undefined ? [] : [`tenants ${tenants.length}`, ...tenants.map(itemJson)]),
    sortedJson(figures),
    ...(original === undefined ? [] : [`${original.version}`, original.text]),
  ];
};

/**
 * A digest of a whole record, including the operator's text; equal for equal copies. The text of an item shared by two
 * records is cached, so the digest of a changed record costs one hash pass plus the serialization of the changed items.
 */
export const recordDigestOf = (record: SetupRecord): string => {
  const cachedDigest = digestCache.get(record);
  if (cachedDigest !== undefined) return cachedDigest;
  const hash = createHash('sha256');
  for (const part of partsOf(record)) hash.update(`${part.length}:`).update(part);
  const digest = hash.digest('hex').slice(0, 32);
  digestCache.set(record, digest);
  return digest;
};
