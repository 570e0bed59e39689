import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/** Resolves after the delay. */
export const delay = (clock: Clock, delayUs: Micros): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delayUs, resolve);
  });
