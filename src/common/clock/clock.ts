import type { Micros } from '../micros.js';

/** A monotonic clock with timers; unaffected by changes of the wall clock. */
export type Clock = {
  readonly now: () => Micros;
  /** Calls `act` once after the delay; the returned function cancels the timer. */
  readonly after: (delayUs: Micros, act: () => void) => () => void;
};
