import type { Micros } from '../common/micros.js';
import type { Quota } from '../setup/document/quota.js';
import type { QuotaTolerance } from './quota-tolerance.js';
import type { BucketLimits } from './token-bucket.js';

/** Tokens that a router was granted and has not spent expire so long after it asked for them. */
export const grantLifeUs: Micros = 500_000;
/** A request that has its tokens may reach its server so much later: single-flight, dialing and retries lie between. */
const longestHoldUs: Micros = 500_000;
/** What routers may spend on credit while no store answers, as time at the full rate. */
const creditUs: Micros = 500_000;
/** The least that a whole bucket holds, as a part of the burst. */
const leastBurstPart = 0.5;
const secondUs = 1_000_000;

/**
 * The bucket of a whole quota. Within any window the store grants at most what comes in and the capacity; what is spent
 * later than it was granted, and on credit, is taken off the capacity, so that use stays inside the tolerance as long as
 * the tolerance is that large.
 */
export const wholeBucketOf = (quota: Quota, { windowUs, excess, margin }: QuotaTolerance): BucketLimits => {
  const { ratePerSecond, burst } = quota;
  const allowed = (ratePerSecond * windowUs) / secondUs + burst;
  const tolerated = allowed * excess + margin;
  const spentLater = (ratePerSecond * (grantLifeUs + longestHoldUs + creditUs)) / secondUs;
  const capacity = Math.max(burst + tolerated - spentLater, burst * leastBurstPart, 1);
  return { ratePerSecond, capacity };
};

/** The part of it that one of so many stores grants from. */
export const bucketShareOf = (quota: Quota, tolerance: QuotaTolerance, shares: number): BucketLimits => {
  const whole = wholeBucketOf(quota, tolerance);
  return { ratePerSecond: whole.ratePerSecond / shares, capacity: whole.capacity / shares };
};
