import { createHash } from 'node:crypto';
import type { Setup } from './setup.js';

const inOrder = (_key: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
    : value;

const knownDigests = new WeakMap<Setup, string>();

/** What a setup says, in a few characters: the same for every copy of it, whatever the order of its keys. */
export const setupDigestOf = (setup: Setup): string => {
  const knownDigest = knownDigests.get(setup);
  if (knownDigest !== undefined) return knownDigest;
  const digest = createHash('sha256').update(JSON.stringify(setup, inOrder)).digest('hex').slice(0, 16);
  knownDigests.set(setup, digest);
  return digest;
};
