import type { PromiseName } from './promise-name.js';

/** Counts and logs promises that are found broken; nothing else is done about them. */
export type PromiseChecks = {
  readonly broken: (promise: PromiseName, facts: Readonly<Record<string, unknown>>) => void;
};

type Parts = {
  readonly count: (name: string) => void;
  readonly log: (what: string, facts: Readonly<Record<string, unknown>>) => void;
};

/** More breaks of one promise than this are counted and not logged. */
const mostLogged = 8;

/** The counter of a promise: its breaks since the process began. */
export const promiseCounterOf = (promise: PromiseName): string => `promises.broken.${promise}`;

/** What a log line of a broken promise is called. */
export const brokenPromise = 'promise broken';

/** Opens the checks of one process on its counters and its log. */
export const openPromiseChecks = ({ count, log }: Parts): PromiseChecks => {
  const logged = new Map<PromiseName, number>();
  return {
    broken: (promise, facts) => {
      count(promiseCounterOf(promise));
      const times = (logged.get(promise) ?? 0) + 1;
      logged.set(promise, times);
      if (times <= mostLogged) log(brokenPromise, { promise, ...facts });
    },
  };
};
