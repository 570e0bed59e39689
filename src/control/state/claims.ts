import { withEntry } from '../../common/maps.js';
import type { Micros } from '../../common/micros.js';
import { positionOf } from '../../decision/ring/position.js';
import type { Command } from '../log/command.js';
import type { ApplyResult } from './apply-result.js';
import type { Claim } from './claim.js';
import type { ReplicatedState } from './replicated-state.js';

/** How long a claim is retained, by the replicated clock; afterwards the key can be claimed again. */
export const claimRetentionUs: Micros = 900_000_000;
export const maxClaims = 100_000;
const bucketCount = 512;

const bucketOf = (key: string): number => positionOf(key) % bucketCount;

const withBucket = (state: ReplicatedState, bucket: number, claims: ReadonlyMap<string, Claim>): ReplicatedState => ({
  ...state,
  buckets: withEntry(state.buckets, bucket, claims),
  claimCount: state.claimCount + claims.size - (state.buckets.get(bucket)?.size ?? 0),
});

const unexpiredClaims = (state: ReplicatedState, bucket: number): ReadonlyMap<string, Claim> =>
  new Map([...(state.buckets.get(bucket) ?? [])].filter(([, claim]) => claim.atUs + claimRetentionUs > state.clockUs));

/** Assigns a key to the first exchange that claims it; drops the expired claims of the key's bucket. */
export const applyClaim = (
  state: ReplicatedState,
  command: Extract<Command, { readonly type: 'claim' }>,
): ApplyResult => {
  const bucket = bucketOf(command.key);
  const claims = unexpiredClaims(state, bucket);
  const existingClaim = claims.get(command.key);
  if (existingClaim !== undefined)
    return {
      state: withBucket(state, bucket, claims),
      outcome: { type: 'claimed', won: existingClaim.exchange === command.exchange, holder: existingClaim.exchange },
    };
  if (state.claimCount >= maxClaims)
    return { state: withBucket(state, bucket, claims), outcome: { type: 'claims-full' } };
  return {
    state: withBucket(
      state,
      bucket,
      withEntry(claims, command.key, { exchange: command.exchange, atUs: state.clockUs }),
    ),
    outcome: { type: 'claimed', won: true, holder: command.exchange },
  };
};

/** Releases a key if the exchange holds it; drops the expired claims of the key's bucket. */
export const applyRelease = (
  state: ReplicatedState,
  command: Extract<Command, { readonly type: 'release' }>,
): ApplyResult => {
  const bucket = bucketOf(command.key);
  const remainingClaims = new Map(
    [...unexpiredClaims(state, bucket)].filter(
      ([key, claim]) => key !== command.key || claim.exchange !== command.exchange,
    ),
  );
  return { state: withBucket(state, bucket, remainingClaims), outcome: { type: 'done' } };
};
