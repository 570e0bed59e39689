import type { Micros } from '../../common/micros.js';
import { sliceUs, windowUs, type Tries } from './tries.js';

/** A node's part of the fleet's limit on extra tries to one service. */
export type RetryBudget = {
  readonly fraction: number;
  /** This node's part of the fleet's small constant; none just after its start. */
  readonly constant: number;
};

const windowSlices = windowUs / sliceUs;
/** The shortest span that must pay for itself: a second. */
const leastSlices = 1_000_000 / sliceUs;

/**
 * Whether one more extra try fits into every span that ends now, from one second to the whole window. Only then does it fit
 * into every window that begins at any time: first tries before a window's beginning pay for nothing in it. Slices at
 * the edge count against it.
 */
export const mayTryAgain = (tries: Tries, atUs: Micros, budget: RetryBudget): boolean => {
  const nowSlice = Math.floor(atUs / sliceUs);
  const bySlice = new Map(tries.map((trySlice) => [trySlice.slice, trySlice]));
  let firsts = 0;
  let extras = bySlice.get(nowSlice)?.extras ?? 0;
  for (let back = 0; back < windowSlices; back += 1) {
    firsts += bySlice.get(nowSlice - back)?.firsts ?? 0;
    extras += bySlice.get(nowSlice - back - 1)?.extras ?? 0;
    if (back + 1 >= leastSlices && extras + 1 > Math.floor(firsts * budget.fraction + budget.constant)) return false;
  }
  return true;
};
