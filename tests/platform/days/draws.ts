import { randomBelow, type RandomSource } from '../../../src/common/random.js';

const hundredths = 100;

/** Rounds to hundredths, as day files are written. */
export const rounded = (value: number): number => Math.round(value * hundredths) / hundredths;

/** A number from `least` up to `most`, in hundredths. */
export const between = (chance: RandomSource, least: number, most: number): number =>
  rounded(least + chance() * Math.max(0, most - least));

/** A whole number from `least` to `most`, both included. */
export const wholeBetween = (chance: RandomSource, least: number, most: number): number =>
  least + randomBelow(chance, Math.max(0, most - least) + 1);

/** Whether something of this probability happens. */
export const happens = (chance: RandomSource, probability: number): boolean => chance() < probability;

/** One of the items, of which there must be at least one. */
export const pick = <T>(chance: RandomSource, items: readonly [T, ...T[]]): T =>
  items[randomBelow(chance, items.length)] ?? items[0];

/** Those of the words that a draw of the given probability keeps, in their order and joined by spaces. */
export const someWords = (chance: RandomSource, words: readonly string[], probability: number): string =>
  words.filter(() => happens(chance, probability)).join(' ');

/** The words that are not empty, joined by spaces. */
export const joinedWords = (...words: readonly string[]): string => words.filter((word) => word !== '').join(' ');
