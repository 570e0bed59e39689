import type { Micros } from '../../common/micros.js';
import type { Tenant } from '../../setup/document/tenant.js';
import { bucketShareOf } from '../bucket-share.js';
import type { QuotaReply, QuotaRequest } from '../quota-grant.js';
import { bucketEmptyAt, fullBucket, refilled, usUntil, type BucketLimits } from '../token-bucket.js';
import type { QuotaStoreEvent } from './quota-store-event.js';
import type { QuotaStoreState, TenantBucket } from './quota-store-state.js';

/** A new state, and the reply where one was asked for. */
export type QuotaStoreStep = {
  readonly state: QuotaStoreState;
  readonly reply?: QuotaReply;
};

type Configured = Extract<QuotaStoreEvent, { readonly type: 'configured' }>;

/** Above this part of its capacity a bucket gives all that is wanted; below, only what is needed. */
const generousPart = 0.5;
/** A store without tokens is not asked again sooner. */
const leastRetryUs: Micros = 50_000;
/** Nor told to wait longer: limits may change meanwhile. */
const mostRetryUs: Micros = 1_000_000;

/**
 * The bucket of a tenant under a newer configuration. One that was known keeps its level, cut to the new capacity. One
 * that comes with the first configuration starts empty, since this machine's former life may have granted all of it; one
 * that comes later starts full.
 */
const configuredBucket = (
  state: QuotaStoreState,
  known: TenantBucket | undefined,
  limits: BucketLimits,
  at: Micros,
): TenantBucket => {
  if (known !== undefined) {
    const atOldLimits = refilled(known.bucket, known.limits, at);
    return { bucket: refilled(atOldLimits, limits, at), limits };
  }
  const first = state.isConfigured ? fullBucket(limits, at) : refilled(bucketEmptyAt(state.startedUs), limits, at);
  return { bucket: first, limits };
};

const onConfigured = (state: QuotaStoreState, { at, tenants, tolerance, shares }: Configured): QuotaStoreState => {
  const bucketOf = ({ name, quota }: Tenant): TenantBucket | undefined =>
    quota === undefined || quota.ratePerSecond === 0
      ? undefined
      : configuredBucket(state, state.buckets.get(name), bucketShareOf(quota, tolerance, shares), at);
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

const retryAfterOf = (waitUs: Micros): Micros => Math.min(mostRetryUs, Math.max(leastRetryUs, waitUs));

/** What a bucket gives: all that is needed, and more of what is wanted while it is well filled; or a part; or nothing. */
const givenOf = (level: number, { capacity }: BucketLimits, { needed, wanted, takesPart }: QuotaRequest): number => {
  if (level < needed) return takesPart ? level : 0;
  const spare = level - needed - capacity * generousPart;
  return needed + Math.max(0, Math.min(wanted - needed, spare));
};

/** Grants atomically: what is granted has left the bucket with the same step. */
const onRequest = (state: QuotaStoreState, request: QuotaRequest, at: Micros): QuotaStoreStep => {
  const { tenant, needed, wanted } = request;
  const known = state.buckets.get(tenant);
  if (known === undefined)
    return state.tenants.has(tenant)
      ? { state, reply: { type: 'granted', tokens: Math.max(needed, wanted) } }
      : { state, reply: { type: 'unavailable' } };
  const { limits } = known;
  const bucket = refilled(known.bucket, limits, at);
  const tokens = givenOf(bucket.level, limits, request);
  const left = { level: bucket.level - tokens, atUs: bucket.atUs };
  const nextState = { ...state, buckets: state.buckets.set(tenant, { bucket: left, limits }) };
  if (tokens >= needed) return { state: nextState, reply: { type: 'granted', tokens } };
  const retryAfterUs = retryAfterOf(usUntil(left, limits, Math.min(needed, limits.capacity)));
  return { state: nextState, reply: { type: 'exhausted', tokens, left: left.level, retryAfterUs } };
};

/** One core machine's share of the quota store: one event in, a new state and at most one reply out. */
export const stepQuotaStore = (state: QuotaStoreState, event: QuotaStoreEvent): QuotaStoreStep => {
  switch (event.type) {
    case 'configured':
      return { state: onConfigured(state, event) };
    case 'request':
      return onRequest(state, event.request, event.at);
  }
};
