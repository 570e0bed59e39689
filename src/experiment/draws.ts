import type { RandomSource } from '../common/random.js';

/** A draw with a mean of 1 whose logarithm has the given spread. */
export const logNormal = (chance: RandomSource, spread: number): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - chance())) * Math.cos(2 * Math.PI * chance());
  return Math.exp(spread * normal - (spread * spread) / 2);
};

export const exponential = (chance: RandomSource): number => -Math.log(1 - chance());

/** One of so many things, the first ones more often the larger the skew. */
export const skewed = (chance: RandomSource, things: number, skew: number): number =>
  Math.min(things - 1, Math.floor(things * chance() ** (1 / (1 - Math.min(0.95, skew)))));
