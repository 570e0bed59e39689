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

/** How many hear from a router what it has from a core machine, which tells its part of the routers itself. */
const tellingsAfterCore = 1;

const isFromCore = (view: SpreadView, from: string | undefined): boolean =>
  from !== undefined && view.partners.get(from)?.partner.role === 'control';

/** Tells some by chance, and where this is a core machine the other ones and its own part of the routers. */
const toldTo = (view: SpreadView, count: number, from: string | undefined): SpreadStep => {
  const { targets, view: drawnView } = newsTargets(view, count, from);
  const coreOnes = coreTargets(drawnView).filter((address) => address !== from);
  return digestsTo(drawnView, [...new Set([...coreOnes, ...targets])]);
};

/** Lets others know at once that there is news: all of few, or some, who go on telling it. They ask for its text. */
export const pushed = (view: SpreadView, from?: string): SpreadStep => toldTo(view, tellingsOf(from), from);

/**
 * Hands on that the list was read. It happens twice a second all day, so that a router that has it from a core machine
 * tells only one other; whoever misses it asks when its last reading grows old.
 */
export const pushedReading = (view: SpreadView, from?: string): SpreadStep =>
  toldTo(view, isFromCore(view, from) ? tellingsAfterCore : tellingsOf(from), from);

/** Makes a change known here and to others. */
export const told = (view: SpreadView, news: SpreadEffect, from?: string): SpreadStep =>
  andThen(stepped(view, news), (toldView) => pushed(toldView, from));
