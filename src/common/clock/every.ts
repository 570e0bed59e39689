import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/**
 * The time until the next whole multiple of an interval on the monotonic clock. If less than half an interval is left,
 * the multiple after that is used, since a timer that fired slightly early must not fire twice for one multiple.
 */
export const untilNextMultiple = (nowUs: Micros, intervalUs: Micros): Micros => {
  const leftUs = intervalUs - (nowUs % intervalUs);
  return leftUs < intervalUs / 2 ? leftUs + intervalUs : leftUs;
};

/**
 * Calls `act` at every whole multiple of an interval on the monotonic clock, until the returned function is called. The
 * alignment makes the periodic work of a process coincide, since each wake-up of the process costs processor time.
 */
export const callEvery = (clock: Clock, intervalUs: Micros, act: () => void): (() => void) => {
  let isOver = false;
  let cancel = (): void => undefined;
  const plan = (): void => {
    cancel = clock.after(untilNextMultiple(clock.now(), intervalUs), () => {
      plan();
      act();
    });
    if (isOver) cancel();
  };
  plan();
  return () => {
    isOver = true;
    cancel();
  };
};
