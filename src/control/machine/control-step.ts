import type { ControlEffect } from './control-effect.js';
import type { Replica } from './replica.js';

/** The result of a step: the replica after it, and the effects to execute, in order. */
export type ControlStep = {
  readonly replica: Replica;
  readonly effects: readonly ControlEffect[];
};

export const stepOf = (replica: Replica, ...effects: readonly ControlEffect[]): ControlStep => ({ replica, effects });

/** Continues a step with the replica that it led to, and concatenates the effects. */
export const andThen = (step: ControlStep, next: (replica: Replica) => ControlStep): ControlStep => {
  const nextStep = next(step.replica);
  return { replica: nextStep.replica, effects: [...step.effects, ...nextStep.effects] };
};

export const forEachStep = <T>(
  step: ControlStep,
  items: readonly T[],
  next: (replica: Replica, item: T) => ControlStep,
): ControlStep => items.reduce((previousStep, item) => andThen(previousStep, (replica) => next(replica, item)), step);
