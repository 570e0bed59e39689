import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Range } from '../ring/range.js';

/**
 * The pace of cold prefills in migrations: per range that changes its owner, the time from which this node may send the next
 * one.
 */
export type Pace = {
  readonly freeUs: PersistentMap<PaceKey, Micros>;
  /** The number of entries at which those that lie in the past are dropped. */
  readonly most: number;
};

/** A range and the server that takes it over. */
export type PaceKey = string;

const minPruneSize = 128;

export const emptyPace: Pace = { freeUs: emptyMap(), most: minPruneSize };

export const paceKeyOf = (key: ServerKey, range: Range): PaceKey => `${key}|${range.upTo}`;

/** Whether the next slot of a range has begun. */
export const paceAllows = (pace: Pace, paceKey: PaceKey, atUs: Micros): boolean =>
  (pace.freeUs.get(paceKey) ?? 0) <= atUs;

/** Uses up the current slot of a range. Keeps at most twice as many entries as ever lay in the future at once, or 128. */
export const paceTaken = (pace: Pace, paceKey: PaceKey, atUs: Micros, spanUs: Micros): Pace => {
  const slots = pace.freeUs.set(paceKey, atUs + spanUs);
  if (slots.size < pace.most) return { freeUs: slots, most: pace.most };
  const futureSlots = slots.filter((slotUs) => slotUs > atUs);
  return { freeUs: futureSlots, most: Math.max(minPruneSize, futureSlots.size * 2) };
};
