import fc from 'fast-check';
import { playWalk, type Walk } from './random-walk.js';

/** How many walks, how long each at most, and from which seed they are drawn. */
export type WalkOptions = {
  readonly seed: number;
  readonly runs: number;
  readonly depth: number;
  readonly sizes: readonly number[];
  /** Breaks that are known by their text; a walk that ends with one counts as whole. */
  readonly known?: RegExp;
};

/** A walk that breaks a rule, as short as shrinking made it. */
export type Break = {
  readonly rule: string;
  readonly seed: number;
  readonly path: string;
  readonly walk: Walk;
  readonly trace: readonly string[];
};

const largestAction = 2 ** 31 - 1;

const walks = ({ depth, sizes }: WalkOptions): fc.Arbitrary<Walk> =>
  fc.record({
    size: fc.constantFrom(...sizes),
    isFounded: fc.oneof({ weight: 7, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) }),
    actions: fc.array(fc.integer({ min: 0, max: largestAction }), {
      maxLength: depth,
      size: 'max',
    }),
  });

/** Looks for a walk that breaks a rule. */
export const findBreak = (options: WalkOptions): Break | undefined => {
  const checked = fc.check(
    fc.property(walks(options), (walk) => playWalk(walk).broken.every((rule) => options.known?.test(rule) === true)),
    { seed: options.seed, numRuns: options.runs, endOnFailure: false },
  );
  const walk = checked.counterexample?.[0];
  if (!checked.failed || walk === undefined) return undefined;
  const { broken, trace } = playWalk(walk);
  return { rule: broken.join(' | '), seed: checked.seed, path: checked.counterexamplePath ?? '', walk, trace };
};

/** A break as text for a person: the rule, how to play it again, and every action. */
export const describeBreak = ({ rule, seed, path, walk, trace }: Break): string =>
  [
    rule,
    `seed ${seed}, path ${path}, walk ${JSON.stringify(walk)}`,
    ...trace.map((what, place) => `${String(place + 1).padStart(3)} ${what}`),
  ].join('\n');
