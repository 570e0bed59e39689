import type { Micros } from '../common/micros.js';

/** How fast a bucket fills, and how much it holds. */
export type BucketLimits = {
  readonly ratePerSecond: number;
  readonly capacity: number;
};

/**
 * A token bucket: it fills with time up to its capacity. Whatever is taken from one within any span is at most its
 * capacity and what has come in within that span.
 */
export type TokenBucket = {
  readonly level: number;
  readonly atUs: Micros;
};

const secondUs = 1_000_000;

/** A bucket that has been filling, from empty, since a moment. */
export const bucketEmptyAt = (atUs: Micros): TokenBucket => ({ level: 0, atUs });

export const fullBucket = ({ capacity }: BucketLimits, atUs: Micros): TokenBucket => ({ level: capacity, atUs });

/** The bucket at a later moment, under limits that may have changed; time that runs back adds nothing. */
export const refilled = (bucket: TokenBucket, limits: BucketLimits, nowUs: Micros): TokenBucket => {
  const passedUs = Math.max(0, nowUs - bucket.atUs);
  const filled = bucket.level + (limits.ratePerSecond * passedUs) / secondUs;
  return { level: Math.min(limits.capacity, filled), atUs: Math.max(nowUs, bucket.atUs) };
};

/** How long until a bucket holds so much, if nothing is taken meanwhile; without end where it never will. */
export const usUntil = (bucket: TokenBucket, limits: BucketLimits, wanted: number): Micros => {
  if (bucket.level >= wanted) return 0;
  if (wanted > limits.capacity || limits.ratePerSecond === 0) return Number.POSITIVE_INFINITY;
  return Math.ceil(((wanted - bucket.level) * secondUs) / limits.ratePerSecond);
};
