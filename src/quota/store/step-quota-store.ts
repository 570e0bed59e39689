import type { Micros } from '../../common/micros.js';
import type { Tenant } from '../../setup/document/tenant.js';
import { storeBucketLimitsOf } from '../bucket-share.js';
import type { QuotaReply, QuotaRequest } from '../quota-messages.js';
import { emptyBucket, fullBucket, refillBucket, timeUntilLevelUs, type BucketLimits } from '../token-bucket.js';
import type { QuotaStoreEvent } from './quota-store-event.js';
import type { QuotaStoreState, TenantBucket } from './quota-store-state.js';

/** A new state, and the reply to a `request` event. */
export type QuotaStoreStep = {
  readonly state: QuotaStoreState;
  readonly reply?: QuotaReply;
};

type Configured = Extract<QuotaStoreEvent, { readonly type: 'configured' }>;

/** Tokens above this fraction of the capacity may be granted beyond `needed`, up to `wanted`. */
const surplusThreshold = 0.5;
/** Bounds of `retryAfterUs` in an `exhausted` reply. */
const minRetryAfterUs: Micros = 50_000;
/** Limits may change during a longer wait. */
const maxRetryAfterUs: Micros = 1_000_000;

/**
 * A tenant's bucket under a new configuration. A known bucket keeps its level, capped at the new capacity. A bucket of the
 * first configuration starts empty, since this node may have granted all of it before a restart. A tenant that is added
 * later starts with a full bucket.
 */
const reconfigureBucket = (
  state: QuotaStoreState,
  known: TenantBucket | undefined,
  limits: BucketLimits,
  at: Micros,
): TenantBucket => {
  if (known !== undefined) {
    const refilledBucket = refillBucket(known.bucket, known.limits, at);
    return { bucket: refillBucket(refilledBucket, limits, at), limits };
  }
  const first = state.isConfigured ? fullBucket(limits, at) : refillBucket(emptyBucket(state.startedUs), limits, at);
  return { bucket: first, limits };
};

const onConfigured = (state: QuotaStoreState, { at, tenants, tolerance, shares }: Configured): QuotaStoreState => {
  const bucketOf = ({ name, quota }: Tenant): TenantBucket | undefined =>
    quota === undefined || quota.ratePerSecond === 0
      ? undefined
      : reconfigureBucket(state, state.buckets.get(name), storeBucketLimitsOf(quota, tolerance, shares), at);
  const limited = new Set(tenants.filter(({ quota }) => (quota?.ratePerSecond ?? 0) > 0).map(({ name }) => name));
  const buckets = state.buckets
    .filter((_bucket, name) => limited.has(name))
    .withMutations((changed) => {
      for (const tenant of tenants) {
        const bucket = bucketOf(tenant);
        if (bucket !== undefined) changed.set(tenant.name, bucket);
      }
    });
  return { ...state, isConfigured: true, tenants: new Set(tenants.map(({ name }) => name)), buckets };
};

const clampRetryAfter = (waitUs: Micros): Micros => Math.min(maxRetryAfterUs, Math.max(minRetryAfterUs, waitUs));

/** Tokens to grant: `needed` plus any surplus up to `wanted`; or, if the level is below `needed`, all of it or nothing. */
const grantedTokens = (
  level: number,
  { capacity }: BucketLimits,
  { needed, wanted, takesPart }: QuotaRequest,
): number => {
  if (level < needed) return takesPart ? level : 0;
  const surplus = level - needed - capacity * surplusThreshold;
  return needed + Math.max(0, Math.min(wanted - needed, surplus));
};

/** Replies to a quota request; the granted tokens are deducted in the same step. */
const onRequest = (state: QuotaStoreState, request: QuotaRequest, at: Micros): QuotaStoreStep => {
  const { tenant, needed, wanted } = request;
  const known = state.buckets.get(tenant);
  if (known === undefined)
    return state.tenants.has(tenant)
      ? { state, reply: { type: 'granted', tokens: Math.max(needed, wanted) } }
      : { state, reply: { type: 'unavailable' } };
  const { limits } = known;
  const bucket = refillBucket(known.bucket, limits, at);
  const tokens = grantedTokens(bucket.level, limits, request);
  const left = { level: bucket.level - tokens, atUs: bucket.atUs };
  const nextState = { ...state, buckets: state.buckets.set(tenant, { bucket: left, limits }) };
  if (tokens >= needed) return { state: nextState, reply: { type: 'granted', tokens } };
  const retryAfterUs = clampRetryAfter(timeUntilLevelUs(left, limits, Math.min(needed, limits.capacity)));
  return { state: nextState, reply: { type: 'exhausted', tokens, left: left.level, retryAfterUs } };
};

/** State machine of one control node's quota store. Only a `request` event has a reply. */
export const stepQuotaStore = (state: QuotaStoreState, event: QuotaStoreEvent): QuotaStoreStep => {
  switch (event.type) {
    case 'configured':
      return { state: onConfigured(state, event) };
    case 'request':
      return onRequest(state, event.request, event.at);
  }
};
