import type { GuaranteeName } from './guarantee-name.js';

/** Counts and logs violated guarantees; a violation has no further effect. */
export type GuaranteeMonitor = {
  /** Records one violation of a guarantee. */
  readonly broken: (promise: GuaranteeName, facts: Readonly<Record<string, unknown>>) => void;
};

/** Where violations are counted and logged. */
type ViolationSinks = {
  readonly count: (name: string) => void;
  readonly log: (what: string, facts: Readonly<Record<string, unknown>>) => void;
};

/** Further violations of the same guarantee are only counted, to bound the log. */
const maxLoggedViolations = 8;

/** The name of the counter of violations of a guarantee since the start of the process. */
export const violationCounterOf = (promise: GuaranteeName): string => `promises.broken.${promise}`;

/** The message of the log line of a violation. */
export const violationMessage = 'promise broken';

/** Records violations in the counters and the log of one process. */
export const openGuaranteeMonitor = ({ count, log }: ViolationSinks): GuaranteeMonitor => {
  const violationCounts = new Map<GuaranteeName, number>();
  return {
    broken: (promise, facts) => {
      count(violationCounterOf(promise));
      const violations = (violationCounts.get(promise) ?? 0) + 1;
      violationCounts.set(promise, violations);
      if (violations <= maxLoggedViolations) log(violationMessage, { promise, ...facts });
    },
  };
};
