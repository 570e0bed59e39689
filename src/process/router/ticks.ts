import { untilNextMultiple } from '../../common/clock/every.js';
import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';

/** Lets time pass for the decision machine. */
export type Ticks = {
  /** Plans the next tick anew, after something has happened. */
  readonly plan: () => void;
  readonly start: () => void;
  readonly close: () => void;
};

/** How often time passes for the decision machine where none of its waits ends sooner. */
const restTickUs: Micros = 100_000;
/** Waits that end closer together than this are looked after at once. */
const leastTickUs: Micros = 5_000;
/** A tick that is later than this was held up by the process itself, or by its processor. */
const usualLatenessUs: Micros = 20_000;

/**
 * Ticks fall with all other periodic work of the process, or sooner where a wait ends sooner. `tick` is told the moment,
 * and for how long the process itself held the tick up.
 */
export const openTicks = (clock: Clock, wakeUs: () => Micros, tick: (nowUs: Micros, lateUs: Micros) => void): Ticks => {
  let takeBack = (): void => undefined;
  let plannedUs = Number.POSITIVE_INFINITY;
  let isTicking = false;

  const run = (): void => {
    const nowUs = clock.now();
    const lateUs = Math.max(0, nowUs - plannedUs - usualLatenessUs);
    plannedUs = Number.POSITIVE_INFINITY;
    tick(nowUs, lateUs);
  };

  const plan = (): void => {
    if (!isTicking) return;
    const nowUs = clock.now();
    const restUs = nowUs + untilNextMultiple(nowUs, restTickUs);
    const dueUs = Math.min(restUs, Math.max(nowUs + leastTickUs, wakeUs()));
    if (dueUs >= plannedUs) return;
    takeBack();
    plannedUs = dueUs;
    takeBack = clock.after(dueUs - nowUs, run);
  };

  return {
    plan,
    start: () => {
      isTicking = true;
      plan();
    },
    close: () => {
      isTicking = false;
      takeBack();
    },
  };
};
