import { createHash } from 'node:crypto';
import { itemText, orderedJson } from '../document/canonical-text.js';
import type { SetupRecord } from '../document/setup-record.js';

const knownDigests = new WeakMap<SetupRecord, string>();

/** The parts of a record in a fixed order, each with the number of its items before them. */
const partsOf = ({ revision, takenAtUs, setup, original, epochs }: SetupRecord): readonly string[] => {
  const { services, tiers, rules, tenants, ...figures } = setup;
  return [
    `${revision} ${takenAtUs}`,
    ...[services, tiers, rules, epochs].flatMap((items) => [`${items.length}`, ...items.map(itemText)]),
    ...(tenants === undefined ? [] : [`tenants ${tenants.length}`, ...tenants.map(itemText)]),
    orderedJson(figures),
    ...(original === undefined ? [] : [`${original.version}`, original.text]),
  ];
};

/**
 * A digest of a whole record, the operator's text included: the same for every copy of it. Items that two records share
 * are written out once, so that the digest of a changed record costs what changed and one pass of the hash.
 */
export const recordDigestOf = (record: SetupRecord): string => {
  const knownDigest = knownDigests.get(record);
  if (knownDigest !== undefined) return knownDigest;
  const hash = createHash('sha256');
  for (const part of partsOf(record)) hash.update(`${part.length}:`).update(part);
  const digest = hash.digest('hex').slice(0, 32);
  knownDigests.set(record, digest);
  return digest;
};
