/** A moment or a length of time in whole microseconds. */
export type Micros = number;

const nanosPerMicro = 1000n;

/** The process's monotonic time line; it never jumps with the wall clock. */
export const steadyNow = (): Micros => Number(process.hrtime.bigint() / nanosPerMicro);

export const toMillis = (span: Micros): number => Math.max(0, Math.ceil(span / 1000));

/** Whole seconds for a Retry-After header, at least one. */
export const toRetrySeconds = (span: Micros): number => Math.max(1, Math.ceil(span / 1_000_000));
