import type { Micros } from '../../common/micros.js';
import { sliceUs, windowUs, type AttemptWindow } from './attempt-window.js';

/** This node's share of the fleet's limit on retries to one service. */
export type RetryBudget = {
  /** Retries permitted per first attempt. */
  readonly fraction: number;
  /** Retries permitted on top of that: an equal share of the fleet's constant, and 0 just after the start of the node. */
  readonly constant: number;
};

const windowSlices = windowUs / sliceUs;
/** The shortest interval that must stay within the budget: a second. */
const minIntervalSlices = 1_000_000 / sliceUs;

/**
 * Whether one more retry stays within the budget in every interval that ends now, from one second to the whole window. Only
 * then does it stay within it in a window that begins at any time: first attempts before a window don't count in it.
 * Slices that lie partly in an interval count with their retries but not with their first attempts.
 */
export const canRetry = (window: AttemptWindow, atUs: Micros, budget: RetryBudget): boolean => {
  const nowSlice = Math.floor(atUs / sliceUs);
  const bySlice = new Map(window.map((attemptSlice) => [attemptSlice.slice, attemptSlice]));
  let firstAttempts = 0;
  let retries = bySlice.get(nowSlice)?.retries ?? 0;
  for (let back = 0; back < windowSlices; back += 1) {
    firstAttempts += bySlice.get(nowSlice - back)?.firstAttempts ?? 0;
    retries += bySlice.get(nowSlice - back - 1)?.retries ?? 0;
    if (back + 1 >= minIntervalSlices && retries + 1 > Math.floor(firstAttempts * budget.fraction + budget.constant))
      return false;
  }
  return true;
};
