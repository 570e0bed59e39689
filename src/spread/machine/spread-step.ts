import type { SpreadEffect } from './spread-effect.js';
import type { SpreadView } from './spread-view.js';

/** A new view of the spread and what it wants done. */
export type SpreadStep = {
  readonly view: SpreadView;
  readonly effects: readonly SpreadEffect[];
};

export const stepped = (view: SpreadView, ...effects: readonly SpreadEffect[]): SpreadStep => ({ view, effects });

export const andThen = (step: SpreadStep, next: (view: SpreadView) => SpreadStep): SpreadStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};
