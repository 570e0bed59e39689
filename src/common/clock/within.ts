import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/** What a promise comes to within a span; nothing when it takes longer. */
export const within = <T>(clock: Clock, promise: Promise<T>, span: Micros): Promise<T | undefined> => {
  let takeBack = (): void => undefined;
  const passed = new Promise<undefined>((resolve) => {
    takeBack = clock.after(span, () => resolve(undefined));
  });
  return Promise.race([promise, passed]).finally(() => takeBack());
};
