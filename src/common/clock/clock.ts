import type { Micros } from '../micros.js';

/** Time as a task knows it: a steady line that never jumps with the wall clock, and calls back after a span. */
export type Clock = {
  readonly now: () => Micros;
  /** Calls back once; what it returns takes that back. */
  readonly after: (span: Micros, act: () => void) => () => void;
};
