/** A point in time or a duration, in whole microseconds. */
export type Micros = number;

const nanosPerMicro = 1000n;

/** The monotonic time of this process; unaffected by changes of the wall clock. */
export const monotonicNow = (): Micros => Number(process.hrtime.bigint() / nanosPerMicro);

/** Milliseconds for a timer, rounded up so that it does not fire early; never negative. */
export const toMillis = (durationUs: Micros): number => Math.max(0, Math.ceil(durationUs / 1000));

/** Whole seconds for a Retry-After header, at least one. */
export const toRetryAfterSeconds = (durationUs: Micros): number => Math.max(1, Math.ceil(durationUs / 1_000_000));
