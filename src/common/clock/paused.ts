import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/** Waits for a while. */
export const paused = (clock: Clock, span: Micros): Promise<void> =>
  new Promise((resolve) => {
    clock.after(span, resolve);
  });
