import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/** Calls back again and again with a pause between; what it returns ends that. */
export const every = (clock: Clock, span: Micros, act: () => void): (() => void) => {
  let isOver = false;
  let takeBack = (): void => undefined;
  const plan = (): void => {
    takeBack = clock.after(span, () => {
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
