import type { Micros } from '../../common/micros.js';
import { windowUs } from './tries.js';

/** How many routers were counted, and until when each count held; the last one still holds. */
export type RouterCounts = readonly { readonly routers: number; readonly untilUs: Micros }[];

/**
 * For how long a count goes on to hold after a lower one came: nodes learn of a loss at different moments, and what the
 * greater number gave out is still in the window.
 */
export const countHeldUs: Micros = 2 * windowUs;

export const countsAfter = (counts: RouterCounts, routers: number, atUs: Micros): RouterCounts => {
  const held = counts
    .map((count) => (count.untilUs === Number.POSITIVE_INFINITY ? { ...count, untilUs: atUs + countHeldUs } : count))
    .filter((count) => count.untilUs > atUs && count.routers > routers);
  return [...held, { routers, untilUs: Number.POSITIVE_INFINITY }];
};

/** The greatest count that holds; none before the first one. */
export const mostCounted = (counts: RouterCounts, atUs: Micros): number | undefined =>
  counts.reduce<number | undefined>(
    (most, { routers, untilUs }) => (untilUs > atUs ? Math.max(most ?? 0, routers) : most),
    undefined,
  );
