import { steadyNow, toMillis } from '../micros.js';
import type { Clock } from './clock.js';

/** The clock of a real process. */
export const steadyClock: Clock = {
  now: steadyNow,
  after: (span, act) => {
    const timer = setTimeout(act, toMillis(span));
    return () => clearTimeout(timer);
  },
};
