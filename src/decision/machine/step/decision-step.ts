import type { Decision } from '../effect/decision.js';
import type { DecisionView } from '../view/decision-view.js';

/** A new view and the decisions that led to it. */
export type DecisionStep = {
  readonly view: DecisionView;
  readonly effects: readonly Decision[];
};

export const still = (view: DecisionView): DecisionStep => ({ view, effects: [] });

export const stepped = (view: DecisionView, ...effects: readonly Decision[]): DecisionStep => ({ view, effects });

/** Goes on from a step, keeping its decisions in order. */
export const andThen = (step: DecisionStep, next: (view: DecisionView) => DecisionStep): DecisionStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};

export const overAll = <T>(
  step: DecisionStep,
  items: readonly T[],
  next: (view: DecisionView, item: T) => DecisionStep,
): DecisionStep => items.reduce((reachedStep, item) => andThen(reachedStep, (view) => next(view, item)), step);
