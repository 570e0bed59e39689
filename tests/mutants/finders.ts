import type { MutantFinder } from './mutant.js';

/** Seeds of a virtual scenario of which one must break a rule. */
export const seeds = (scenario: string, rule: string, last = 10, first = 1): MutantFinder => ({
  type: 'seeds',
  scenario,
  first,
  last,
  rule,
});

/** A test file that must fail. */
export const test = (file: string): MutantFinder => ({ type: 'test', file });
