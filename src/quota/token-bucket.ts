import type { Micros } from '../common/micros.js';

export type BucketLimits = {
  readonly ratePerSecond: number;
  readonly capacity: number;
};

/**
 * State of a token bucket: its level as of `atUs`. Over any interval at most the capacity plus the refill of that interval
 * can be withdrawn.
 */
export type TokenBucket = {
  readonly level: number;
  readonly atUs: Micros;
};

const secondUs = 1_000_000;

/** A bucket that was empty at `atUs`. */
export const emptyBucket = (atUs: Micros): TokenBucket => ({ level: 0, atUs });

export const fullBucket = ({ capacity }: BucketLimits, atUs: Micros): TokenBucket => ({ level: capacity, atUs });

/** Advances a bucket to `nowUs` under limits that may have changed. A clock that goes back adds nothing. */
export const refillBucket = (bucket: TokenBucket, limits: BucketLimits, nowUs: Micros): TokenBucket => {
  const elapsedUs = Math.max(0, nowUs - bucket.atUs);
  const filled = bucket.level + (limits.ratePerSecond * elapsedUs) / secondUs;
  return { level: Math.min(limits.capacity, filled), atUs: Math.max(nowUs, bucket.atUs) };
};

/** Time until the bucket holds `wanted` tokens if none are withdrawn; infinite if it never will. */
export const timeUntilLevelUs = (bucket: TokenBucket, limits: BucketLimits, wanted: number): Micros => {
  if (bucket.level >= wanted) return 0;
  if (wanted > limits.capacity || limits.ratePerSecond === 0) return Number.POSITIVE_INFINITY;
  return Math.ceil(((wanted - bucket.level) * secondUs) / limits.ratePerSecond);
};
