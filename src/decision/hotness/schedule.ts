import type { Micros } from '../../common/micros.js';
import type { Prefix } from '../ring/prefix.js';
import { rangeHolds, type Range } from '../ring/range.js';
import type { HotPrefix } from './hot-prefix.js';
import { arcAt, arcCount, scoreAt, type Hotness } from './hotness.js';

const goesBefore = (left: HotPrefix, leftName: Prefix, right: HotPrefix, rightName: Prefix, atUs: Micros): boolean => {
  const order = left.tierPlace - right.tierPlace || scoreAt(right, atUs) - scoreAt(left, atUs);
  return order < 0 || (order === 0 && leftName < rightName);
};

/**
 * The place of an opening in the warm-up schedule of one range: best tier first, hottest first within a tier. Looks
 * only at openings that lie in the range, and no further than `most`; none for an opening that is not in the schedule.
 */
export const rankIn = (
  hotness: Hotness,
  ranked: { readonly prefix: Prefix; readonly service: string },
  range: Range,
  atUs: Micros,
  most: number,
): number | undefined => {
  const own = hotness.prefixes.get(ranked.prefix);
  if (own === undefined || own.service !== ranked.service || !rangeHolds(range, own.position)) return undefined;
  const firstArc = arcAt(range.after);
  const lastArc = arcAt(range.upTo);
  const arcSpan = range.after < range.upTo ? lastArc - firstArc : Math.min(arcCount - 1, lastArc - firstArc + arcCount);
  let rank = 0;
  for (let step = 0; step <= arcSpan; step += 1)
    for (const prefix of hotness.arcs.get((firstArc + step) % arcCount) ?? []) {
      const other = hotness.prefixes.get(prefix);
      if (other === undefined || other.service !== ranked.service || !rangeHolds(range, other.position)) continue;
      if (goesBefore(other, prefix, own, ranked.prefix, atUs)) rank += 1;
      if (rank >= most) return undefined;
    }
  return rank;
};
