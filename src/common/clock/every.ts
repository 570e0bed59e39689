import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/**
 * The time until the next whole multiple of an interval on the monotonic clock. If less than half an interval is left,
 * the multiple after that is used, since a timer that fired slightly early must not fire twice for one multiple.
 */
export const untilNextMultiple = (nowUs: Micros, span: Micros): Micros => {
  const leftUs = span - (nowUs % span);
  return leftUs < span / 2 ? leftUs + span : leftUs;
};

/**
 * Calls `act` at every whole multiple of an interval on the monotonic clock, until the returned function is called. The
 * alignment makes the periodic work of a process coincide, since each wake-up of the process costs processor time.
 */
export const every = (clock: Clock, span: Micros, act: () => void): (() => void) => {
  let isOver = false;
  let takeBack = (): void => undefined;
  const plan = (): void => {
    takeBack = clock.after(untilNextMultiple(clock.now(), span), () => {
      plan();
      act();
    });
    if (isOver) takeBack();
  };
  plan();
  return () => {
    isOver = true;
    takeBack();
  };
};
