import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/**
 * How long until the next whole multiple of a span on the steady clock. A moment just before one, where a timer fired
 * a little early, counts as the multiple itself.
 */
export const untilNextMultiple = (nowUs: Micros, span: Micros): Micros => {
  const leftUs = span - (nowUs % span);
  return leftUs < span / 2 ? leftUs + span : leftUs;
};

/**
 * Calls back again and again, at whole multiples of a span on the steady clock; what it returns ends that. All periodic
 * work of one process thus falls on the same moments: every wake-up of a process costs processor time of its own.
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
