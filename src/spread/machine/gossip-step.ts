import type { GossipEffect } from './gossip-effect.js';
import type { GossipView } from './gossip-view.js';

/** The result of a step: the new view and the requested effects. */
export type GossipStep = {
  readonly view: GossipView;
  readonly effects: readonly GossipEffect[];
};

/** A step to a view with some effects, or none. */
export const withEffects = (view: GossipView, ...effects: readonly GossipEffect[]): GossipStep => ({ view, effects });

/** Continues a step from its view; the effects of both follow each other. */
export const andThen = (step: GossipStep, next: (view: GossipView) => GossipStep): GossipStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};
