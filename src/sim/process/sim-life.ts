import type { Clock } from '../../common/clock/clock.js';

/** One life of a process: nothing of it happens after its end, and while it is frozen all waits. */
export type SimLife = {
  readonly isOver: () => boolean;
  readonly clock: Clock;
  /** Does what news from outside makes the process do. */
  readonly hear: (act: () => void) => void;
};
