import type { Micros } from '../../common/micros.js';

/** The tries of one service in one slice of time. */
export type TrySlice = {
  readonly slice: number;
  readonly firsts: number;
  readonly extras: number;
};

/** A node's tries to one service over the sliding window, in slices. */
export type Tries = readonly TrySlice[];

export const sliceUs: Micros = 250_000;
export const windowUs: Micros = 10_000_000;

export const triesAfter = (tries: Tries, atUs: Micros, isExtra: boolean): Tries => {
  const slice = Math.floor(atUs / sliceUs);
  const lastTries = tries[tries.length - 1];
  if (lastTries?.slice === slice)
    return [
      ...tries.slice(0, -1),
      { slice, firsts: lastTries.firsts + (isExtra ? 0 : 1), extras: lastTries.extras + (isExtra ? 1 : 0) },
    ];
  const keptTries = tries.filter(
    (trySlice) => trySlice.slice > slice - windowUs / sliceUs - 1 && trySlice.slice !== slice,
  );
  const sameSlice = tries.find((trySlice) => trySlice.slice === slice) ?? { slice, firsts: 0, extras: 0 };
  return [
    ...keptTries,
    { slice, firsts: sameSlice.firsts + (isExtra ? 0 : 1), extras: sameSlice.extras + (isExtra ? 1 : 0) },
  ];
};
