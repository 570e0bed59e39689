import type { Micros } from '../../common/micros.js';

/** The attempts at one service in one slice of time. */
export type AttemptSlice = {
  readonly slice: number;
  readonly firstAttempts: number;
  readonly retries: number;
};

/** A node's attempts at one service over the sliding window, in slices. */
export type AttemptWindow = readonly AttemptSlice[];

/** Length of one slice of the window. */
export const sliceUs: Micros = 250_000;
/** Length of the sliding window of the retry budget. */
export const windowUs: Micros = 10_000_000;

/** Counts one attempt, and drops slices that have left the window. */
export const withAttempt = (window: AttemptWindow, atUs: Micros, isRetry: boolean): AttemptWindow => {
  const slice = Math.floor(atUs / sliceUs);
  const lastSlice = window[window.length - 1];
  if (lastSlice?.slice === slice)
    return [
      ...window.slice(0, -1),
      {
        slice,
        firstAttempts: lastSlice.firstAttempts + (isRetry ? 0 : 1),
        retries: lastSlice.retries + (isRetry ? 1 : 0),
      },
    ];
  const recentSlices = window.filter(
    (attemptSlice) => attemptSlice.slice > slice - windowUs / sliceUs - 1 && attemptSlice.slice !== slice,
  );
  const existing = window.find((attemptSlice) => attemptSlice.slice === slice) ?? {
    slice,
    firstAttempts: 0,
    retries: 0,
  };
  return [
    ...recentSlices,
    { slice, firstAttempts: existing.firstAttempts + (isRetry ? 0 : 1), retries: existing.retries + (isRetry ? 1 : 0) },
  ];
};
