import type { PromiseName } from './promise-name.js';

/** Counts and logs violated guarantees; a violation has no further effect. */
export type PromiseChecks = {
  /** Records one violation of a guarantee. */
  readonly broken: (promise: PromiseName, facts: Readonly<Record<string, unknown>>) => void;
};

/** Where violations are counted and logged. */
type ViolationSinks = {
  readonly count: (name: string) => void;
  readonly log: (what: string, facts: Readonly<Record<string, unknown>>) => void;
};

/** Further violations of the same guarantee are only counted, to bound the log. */
const maxLoggedViolations = 8;

/** The name of the counter of violations of a guarantee since the start of the process. */
export const promiseCounterOf = (promise: PromiseName): string => `promises.broken.${promise}`;

/** The message of the log line of a violation. */
export const brokenPromise = 'promise broken';

/** Records violations in the counters and the log of one process. */
export const openPromiseChecks = ({ count, log }: ViolationSinks): PromiseChecks => {
  const violationCounts = new Map<PromiseName, number>();
  return {
    broken: (promise, facts) => {
      count(promiseCounterOf(promise));
      const violations = (violationCounts.get(promise) ?? 0) + 1;
      violationCounts.set(promise, violations);
      if (violations <= maxLoggedViolations) log(brokenPromise, { promise, ...facts });
    },
  };
};
