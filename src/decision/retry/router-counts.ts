import type { Micros } from '../../common/micros.js';
import { windowUs } from './attempt-window.js';

/** Counts of the routers in the fleet, and until when each holds; the latest holds until further notice. */
export type RouterCounts = readonly { readonly routers: number; readonly untilUs: Micros }[];

/**
 * How long a count holds after a lower one replaced it: nodes learn of a loss at different times, and the retries of the
 * lost nodes are still in the window.
 */
export const countHoldUs: Micros = 2 * windowUs;

/** Adds a count. Lower earlier counts are dropped; greater ones hold for a while longer. */
export const withRouterCount = (counts: RouterCounts, routers: number, atUs: Micros): RouterCounts => {
  const earlier = counts
    .map((count) => (count.untilUs === Number.POSITIVE_INFINITY ? { ...count, untilUs: atUs + countHoldUs } : count))
    .filter((count) => count.untilUs > atUs && count.routers > routers);
  return [...earlier, { routers, untilUs: Number.POSITIVE_INFINITY }];
};

/** The greatest count that holds; undefined before the first one. */
export const greatestCount = (counts: RouterCounts, atUs: Micros): number | undefined =>
  counts.reduce<number | undefined>(
    (greatest, { routers, untilUs }) => (untilUs > atUs ? Math.max(greatest ?? 0, routers) : greatest),
    undefined,
  );
