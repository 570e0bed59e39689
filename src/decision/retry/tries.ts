import type { Micros } from '../../common/micros.js';

/** The attempts at one service in one slice of time. */
export type TrySlice = {
  readonly slice: number;
  readonly firsts: number;
  readonly extras: number;
};

/** A node's attempts at one service over the sliding window, in slices. */
export type Tries = readonly TrySlice[];

/** Length of one slice of the window. */
export const sliceUs: Micros = 250_000;
/** Length of the sliding window of the retry budget. */
export const windowUs: Micros = 10_000_000;

/** Counts one attempt, and drops slices that have left the window. */
export const triesAfter = (window: Tries, atUs: Micros, isRetry: boolean): Tries => {
  const slice = Math.floor(atUs / sliceUs);
  const lastSlice = window[window.length - 1];
  if (lastSlice?.slice === slice)
    return [
      ...window.slice(0, -1),
      { slice, firsts: lastSlice.firsts + (isRetry ? 0 : 1), extras: lastSlice.extras + (isRetry ? 1 : 0) },
    ];
  const recentSlices = window.filter(
    (attemptSlice) => attemptSlice.slice > slice - windowUs / sliceUs - 1 && attemptSlice.slice !== slice,
  );
  const existing = window.find((attemptSlice) => attemptSlice.slice === slice) ?? { slice, firsts: 0, extras: 0 };
  return [
    ...recentSlices,
    { slice, firsts: existing.firsts + (isRetry ? 0 : 1), extras: existing.extras + (isRetry ? 1 : 0) },
  ];
};
