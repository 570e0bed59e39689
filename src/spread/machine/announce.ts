import { digestsTo } from './digest.js';
import type { SpreadEffect } from './spread-effect.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { coreTargets, newsTargets } from './targets.js';

/** How many hear news at once from who is first to know it, and from each that hears it. */
const firstTellings = 8;

const tellings = 3;

const tellingsOf = (from: string | undefined): number => (from === undefined ? firstTellings : tellings);

/** Lets others know at once that there is news: all of few, or some, who go on telling it. They ask for its text. */
export const pushed = (view: SpreadView, from?: string): SpreadStep => {
  const { targets, view: drawnView } = newsTargets(view, tellingsOf(from), from);
  return digestsTo(drawnView, targets);
};

/** Makes a change known here and to others; a core machine tells its own part of the routers beside some by chance. */
export const told = (view: SpreadView, news: SpreadEffect, from?: string): SpreadStep =>
  andThen(stepped(view, news), (toldView) => {
    const { targets, view: drawnView } = newsTargets(toldView, tellingsOf(from), from);
    const coreOnes = coreTargets(drawnView).filter((address) => address !== from);
    return digestsTo(drawnView, [...new Set([...coreOnes, ...targets])]);
  });
