import type { Micros } from '../../common/micros.js';
import { sliceUs, windowUs, type Tries } from './tries.js';

/** A node's part of the fleet's limit on extra tries to one service. */
export type RetryBudget = {
  readonly fraction: number;
  /** This node's part of the fleet's small constant; none just after its start. */
  readonly constant: number;
};

const burstUs: Micros = 1_000_000;

const within = (tries: Tries, atUs: Micros, spanUs: Micros, budget: RetryBudget): boolean => {
  const nowSlice = Math.floor(atUs / sliceUs);
  const spanSlices = spanUs / sliceUs;
  const firsts = tries.filter((trySlice) => trySlice.slice > nowSlice - spanSlices).reduce((sum, trySlice) => sum + trySlice.firsts, 0);
  const extras = tries.filter((trySlice) => trySlice.slice >= nowSlice - spanSlices).reduce((sum, trySlice) => sum + trySlice.extras, 0);
  return extras + 1 <= Math.floor(firsts * budget.fraction + budget.constant);
};

/**
 * Whether one more extra try fits: in the window, and in the last second as well, so that a node whose
 * own traffic has just ended can not spend a window's worth at once. Slices at the edge count against it.
 */
export const mayTryAgain = (tries: Tries, atUs: Micros, budget: RetryBudget): boolean =>
  within(tries, atUs, windowUs, budget) && within(tries, atUs, burstUs, budget);
