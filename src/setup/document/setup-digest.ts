import { createHash } from 'node:crypto';
import { orderedJson } from './canonical-text.js';
import type { Setup } from './setup.js';

const knownDigests = new WeakMap<Setup, string>();

/** What a setup says, in a few characters: the same for every copy of it, whatever the order of its keys. */
export const setupDigestOf = (setup: Setup): string => {
  const knownDigest = knownDigests.get(setup);
  if (knownDigest !== undefined) return knownDigest;
  const digest = createHash('sha256').update(orderedJson(setup)).digest('hex').slice(0, 16);
  knownDigests.set(setup, digest);
  return digest;
};
