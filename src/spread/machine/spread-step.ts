import type { SpreadEffect } from './spread-effect.js';
import type { SpreadView } from './spread-view.js';

/** The result of a step: the new view and the requested effects. */
export type SpreadStep = {
  readonly view: SpreadView;
  readonly effects: readonly SpreadEffect[];
};

/** A step to a view with some effects, or none. */
export const stepped = (view: SpreadView, ...effects: readonly SpreadEffect[]): SpreadStep => ({ view, effects });

/** Continues a step from its view; the effects of both follow each other. */
export const andThen = (step: SpreadStep, next: (view: SpreadView) => SpreadStep): SpreadStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};
