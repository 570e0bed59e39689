/** A seeded stream of draws from 0 up to 1. */
export type Chance = () => number;

export const seededChance = (seed: number): Chance => {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
};

export const wholeBelow = (chance: Chance, end: number): number => Math.floor(chance() * end);

export const oneOf = <T>(chance: Chance, items: readonly T[]): T | undefined => items[wholeBelow(chance, items.length)];
