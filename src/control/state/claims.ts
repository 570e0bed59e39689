import { withEntry } from '../../common/maps.js';
import type { Micros } from '../../common/micros.js';
import { positionOf } from '../../decision/ring/position.js';
import type { Command } from '../log/command.js';
import type { Applied } from './applied.js';
import type { Claim } from './claim.js';
import type { ReplicatedState } from './replicated-state.js';

/** How long a claim is retained, by the replicated clock; afterwards the key can be claimed again. */
export const claimKeepUs: Micros = 900_000_000;
export const mostClaims = 100_000;
const bucketCount = 512;

const bucketOf = (key: string): number => positionOf(key) % bucketCount;

const withBucket = (state: ReplicatedState, bucket: number, claims: ReadonlyMap<string, Claim>): ReplicatedState => ({
  ...state,
  buckets: withEntry(state.buckets, bucket, claims),
  claimCount: state.claimCount + claims.size - (state.buckets.get(bucket)?.size ?? 0),
});

const unexpiredClaims = (state: ReplicatedState, bucket: number): ReadonlyMap<string, Claim> =>
  new Map([...(state.buckets.get(bucket) ?? [])].filter(([, claim]) => claim.atUs + claimKeepUs > state.clockUs));

/** Assigns a key to the first exchange that claims it; drops the expired claims of the key's bucket. */
export const applyClaim = (state: ReplicatedState, command: Extract<Command, { readonly type: 'claim' }>): Applied => {
  const bucket = bucketOf(command.key);
  const claims = unexpiredClaims(state, bucket);
  const heldClaim = claims.get(command.key);
  if (heldClaim !== undefined)
    return {
      state: withBucket(state, bucket, claims),
      outcome: { type: 'claimed', won: heldClaim.exchange === command.exchange, holder: heldClaim.exchange },
    };
  if (state.claimCount >= mostClaims)
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
): Applied => {
  const bucket = bucketOf(command.key);
  const remainingClaims = new Map(
    [...unexpiredClaims(state, bucket)].filter(
      ([key, claim]) => key !== command.key || claim.exchange !== command.exchange,
    ),
  );
  return { state: withBucket(state, bucket, remainingClaims), outcome: { type: 'done' } };
};
