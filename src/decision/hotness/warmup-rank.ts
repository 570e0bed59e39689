import type { Micros } from '../../common/micros.js';
import type { Prefix } from '../ring/prefix.js';
import { rangeContains, type Range } from '../ring/range.js';
import type { HotPrefix } from './hot-prefix.js';
import { arcAt, arcCount, scoreAt, type Hotness } from './hotness.js';

const ranksBefore = (
  left: HotPrefix,
  leftPrefix: Prefix,
  right: HotPrefix,
  rightPrefix: Prefix,
  atUs: Micros,
): boolean => {
  const order = left.tierIndex - right.tierIndex || scoreAt(right, atUs) - scoreAt(left, atUs);
  return order < 0 || (order === 0 && leftPrefix < rightPrefix);
};

/**
 * The rank of a prefix in the warm-up schedule of one range: best tier first, hottest first within a tier. Visits only
 * the arcs that the range touches. Undefined if the prefix is not in the range, or ranks at `limit` or below.
 */
export const warmupRankOf = (
  hotness: Hotness,
  candidate: { readonly prefix: Prefix; readonly service: string },
  range: Range,
  atUs: Micros,
  limit: number,
): number | undefined => {
  const target = hotness.prefixes.get(candidate.prefix);
  if (target === undefined || target.service !== candidate.service || !rangeContains(range, target.position))
    return undefined;
  const firstArc = arcAt(range.after);
  const lastArc = arcAt(range.upTo);
  const arcSteps =
    range.after < range.upTo ? lastArc - firstArc : Math.min(arcCount - 1, lastArc - firstArc + arcCount);
  let rank = 0;
  for (let step = 0; step <= arcSteps; step += 1)
    for (const prefix of hotness.arcs.get((firstArc + step) % arcCount) ?? []) {
      const other = hotness.prefixes.get(prefix);
      if (other === undefined || other.service !== candidate.service || !rangeContains(range, other.position)) continue;
      if (ranksBefore(other, prefix, target, candidate.prefix, atUs)) rank += 1;
      if (rank >= limit) return undefined;
    }
  return rank;
};
