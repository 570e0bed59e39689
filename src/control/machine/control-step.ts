import type { ControlEffect } from './control-effect.js';
import type { ControlView } from './control-view.js';

/** A new view of a core machine and what it wants done. */
export type ControlStep = {
  readonly view: ControlView;
  readonly effects: readonly ControlEffect[];
};

export const stepped = (view: ControlView, ...effects: readonly ControlEffect[]): ControlStep => ({ view, effects });

export const andThen = (step: ControlStep, next: (view: ControlView) => ControlStep): ControlStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};

export const overAll = <T>(
  step: ControlStep,
  items: readonly T[],
  next: (view: ControlView, item: T) => ControlStep,
): ControlStep => items.reduce((reachedStep, item) => andThen(reachedStep, (view) => next(view, item)), step);
