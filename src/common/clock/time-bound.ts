import type { Micros } from '../micros.js';

/** Another time line as far as it is certain: it had come at least so far when the own steady clock showed `atUs`. */
export type TimeBound = {
  readonly reachedUs: Micros;
  readonly atUs: Micros;
};

/** Steady clocks are trusted to run fast by no more than this, in parts of a million. */
export const mostDrift = 500;

/** Spans in which a process did not run, or its clock jumped, are not told apart; none so long counts as time. */
export const longestStepUs: Micros = 700_000;

/** How far the time line has come at least at a later moment. */
export const boundAt = (bound: TimeBound, atUs: Micros): Micros =>
  bound.reachedUs + Math.floor(((atUs - bound.atUs) * (1_000_000 - mostDrift)) / 1_000_000);

/** The greater of what is known and what is heard; it never goes back. */
export const raisedBound = (bound: TimeBound | undefined, reachedUs: Micros, atUs: Micros): TimeBound =>
  bound !== undefined && boundAt(bound, atUs) >= reachedUs ? bound : { reachedUs, atUs };

/** The bound when a span up to now does not count. */
export const withoutSpan = (bound: TimeBound | undefined, spanUs: Micros): TimeBound | undefined =>
  bound === undefined ? undefined : { ...bound, atUs: bound.atUs + spanUs };
