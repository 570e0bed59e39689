/** A pseudo-random number generator: each call returns the next number in [0, 1). */
export type RandomSource = () => number;

/** The mulberry32 generator: the same seed yields the same sequence. */
export const seededRandom = (seed: number): RandomSource => {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
};

/** A random integer in [0, end). */
export const randomBelow = (chance: RandomSource, end: number): number => Math.floor(chance() * end);

/** A random item of a list; undefined if the list is empty. */
export const randomItem = <T>(chance: RandomSource, items: readonly T[]): T | undefined =>
  items[randomBelow(chance, items.length)];
