import type { Micros } from '../common/micros.js';
import type { Quota } from '../setup/document/quota.js';
import type { QuotaTolerance } from './quota-tolerance.js';
import type { BucketLimits } from './token-bucket.js';

/** Time from sending a quota request until the tokens that it was granted expire unspent. */
export const grantTtlUs: Micros = 500_000;
/** Longest time from spending tokens until the request reaches a server: single-flight, dialing and retries. */
const maxDispatchDelayUs: Micros = 500_000;
/** Upper bound on what all routers spend on credit while no store answers, as time at the full rate. */
const creditAllowanceUs: Micros = 500_000;
/** Lower bound on the capacity of a tenant's bucket, as a fraction of the burst. */
const minCapacityFraction = 0.5;
const secondUs = 1_000_000;

/**
 * Limits of a tenant's token bucket over all stores together. Within any window the stores grant at most the refill plus
 * the capacity. Tokens that are used later than they were granted, and credit, can add to the use of a window, so they are
 * subtracted from the capacity. Use then stays within the tolerance, provided that the tolerance is at least that large.
 */
export const fleetBucketLimitsOf = (quota: Quota, { windowUs, excess, margin }: QuotaTolerance): BucketLimits => {
  const { ratePerSecond, burst } = quota;
  const allowed = (ratePerSecond * windowUs) / secondUs + burst;
  const tolerated = allowed * excess + margin;
  const lateUse = (ratePerSecond * (grantTtlUs + maxDispatchDelayUs + creditAllowanceUs)) / secondUs;
  const capacity = Math.max(burst + tolerated - lateUse, burst * minCapacityFraction, 1);
  return { ratePerSecond, capacity };
};

/** Limits of the equal share of a tenant's bucket that one of `shares` stores grants from. */
export const storeBucketLimitsOf = (quota: Quota, tolerance: QuotaTolerance, shares: number): BucketLimits => {
  const whole = fleetBucketLimitsOf(quota, tolerance);
  return { ratePerSecond: whole.ratePerSecond / shares, capacity: whole.capacity / shares };
};
