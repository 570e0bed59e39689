import { createHash } from 'node:crypto';
import { sortedJson } from './canonical-json.js';
import type { Setup } from './setup.js';

const digestCache = new WeakMap<Setup, string>();

/** A short digest of a setup; equal for equal setups, regardless of the order of keys. */
export const setupDigestOf = (setup: Setup): string => {
  const cachedDigest = digestCache.get(setup);
  if (cachedDigest !== undefined) return cachedDigest;
  const digest = createHash('sha256').update(sortedJson(setup)).digest('hex').slice(0, 16);
  digestCache.set(setup, digest);
  return digest;
};
