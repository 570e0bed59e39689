import type { Micros } from '../micros.js';

/** A lower bound of another clock: it showed at least `reachedUs` when the local monotonic clock showed `atUs`. */
export type ClockLowerBound = {
  readonly reachedUs: Micros;
  readonly atUs: Micros;
};

/** The assumed maximum rate error of a monotonic clock that runs fast, in parts per million. */
export const maxDriftPpm = 500;

/**
 * A step of the clock of this length or more does not count as elapsed time, since a suspended process can not be told
 * from a clock that jumped.
 */
export const maxClockStepUs: Micros = 700_000;

/** The lower bound of the other clock at a later local time. */
export const lowerBoundAt = (bound: ClockLowerBound, atUs: Micros): Micros =>
  bound.reachedUs + Math.floor(((atUs - bound.atUs) * (1_000_000 - maxDriftPpm)) / 1_000_000);

/** The bound after a report that the other clock has reached `reachedUs`; the bound never decreases. */
export const raiseBound = (bound: ClockLowerBound | undefined, reachedUs: Micros, atUs: Micros): ClockLowerBound =>
  bound !== undefined && lowerBoundAt(bound, atUs) >= reachedUs ? bound : { reachedUs, atUs };

/** The bound after `spanUs` of local time that must not count as elapsed. */
export const withoutElapsed = (bound: ClockLowerBound | undefined, spanUs: Micros): ClockLowerBound | undefined =>
  bound === undefined ? undefined : { ...bound, atUs: bound.atUs + spanUs };
