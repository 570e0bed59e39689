import type { Micros } from '../../common/micros.js';
import type { Prefix } from '../ring/prefix.js';
import { rangeHolds, type Range } from '../ring/range.js';
import { scoreAt, type Hotness } from './hotness.js';

/** The warm-up schedule of one range: its hot openings, best tier first, hottest first within a tier. */
export type Schedule = readonly Prefix[];

export const scheduleOf = (hotness: Hotness, service: string, range: Range, atUs: Micros, most: number): Schedule =>
  [...hotness]
    .filter(([, hotPrefix]) => hotPrefix.service === service && rangeHolds(range, hotPrefix.position))
    .map(([prefix, hotPrefix]) => ({ prefix, place: hotPrefix.tierPlace, score: scoreAt(hotPrefix, atUs) }))
    .sort((left, right) => left.place - right.place || right.score - left.score || (left.prefix < right.prefix ? -1 : 1))
    .slice(0, most)
    .map((rankedPrefix) => rankedPrefix.prefix);
