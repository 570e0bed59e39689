import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/** Resolves or rejects as the promise does; resolves to undefined if it takes longer than the timeout. */
export const raceTimeout = <T>(clock: Clock, promise: Promise<T>, timeoutUs: Micros): Promise<T | undefined> => {
  let cancel = (): void => undefined;
  const expired = new Promise<undefined>((resolve) => {
    cancel = clock.after(timeoutUs, () => resolve(undefined));
  });
  return Promise.race([promise, expired]).finally(() => cancel());
};
