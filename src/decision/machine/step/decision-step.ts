import type { Decision } from '../effect/decision.js';
import type { DecisionView } from '../view/decision-view.js';

/** The outcome of a step: the new view, and the decisions in order. */
export type DecisionStep = {
  readonly view: DecisionView;
  readonly effects: readonly Decision[];
};

export const withoutEffects = (view: DecisionView): DecisionStep => ({ view, effects: [] });

export const withEffects = (view: DecisionView, ...effects: readonly Decision[]): DecisionStep => ({ view, effects });

/** Continues from a step; the decisions of both stay in order. */
export const andThen = (step: DecisionStep, next: (view: DecisionView) => DecisionStep): DecisionStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};

/** Steps once for each item, each time from the view that the item before left. */
export const stepAll = <T>(
  step: DecisionStep,
  items: readonly T[],
  next: (view: DecisionView, item: T) => DecisionStep,
): DecisionStep => items.reduce((previousStep, item) => andThen(previousStep, (view) => next(view, item)), step);
