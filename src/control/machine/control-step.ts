import type { ControlEffect } from './control-effect.js';
import type { Replica } from './replica.js';

/** A new replica of a core machine and what it wants done. */
export type ControlStep = {
  readonly replica: Replica;
  readonly effects: readonly ControlEffect[];
};

export const stepOf = (replica: Replica, ...effects: readonly ControlEffect[]): ControlStep => ({ replica, effects });

export const andThen = (step: ControlStep, next: (replica: Replica) => ControlStep): ControlStep => {
  const nextStep = next(step.replica);
  return { replica: nextStep.replica, effects: [...step.effects, ...nextStep.effects] };
};

export const forEachStep = <T>(
  step: ControlStep,
  items: readonly T[],
  next: (replica: Replica, item: T) => ControlStep,
): ControlStep => items.reduce((reachedStep, item) => andThen(reachedStep, (replica) => next(replica, item)), step);
