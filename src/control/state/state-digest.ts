import { createHash } from 'node:crypto';
import { encodeOutcomeHistory } from '../wire/outcome-history-codec.js';
import type { ReplicatedState } from './replicated-state.js';

const digests = new WeakMap<ReplicatedState, string>();

const sortedEntries = <Value>(map: ReadonlyMap<string | number, Value>): readonly (readonly [string, Value])[] =>
  [...map]
    .map(([key, value]) => [String(key), value] as const)
    .sort(([left], [right]) => (left < right ? -1 : Number(left > right)));

const textOf = (state: ReplicatedState): string =>
  JSON.stringify([
    state.clockUs,
    state.record?.revision,
    state.record?.takenAtUs,
    state.record?.setup.name,
    state.record?.original?.version,
    encodeOutcomeHistory(state),
    sortedEntries(state.buckets).flatMap(([bucket, claims]) =>
      claims.size === 0 ? [] : [[bucket, sortedEntries(claims)]],
    ),
    state.claimCount,
  ]);

/**
 * A SHA-256 digest of a replicated state, equal for equal states; computed once per state. An empty bucket counts as a
 * missing one, since a snapshot does not contain it.
 */
export const stateDigestOf = (state: ReplicatedState): string => {
  const cached = digests.get(state);
  if (cached !== undefined) return cached;
  const digest = createHash('sha256').update(textOf(state)).digest('hex');
  digests.set(state, digest);
  return digest;
};
