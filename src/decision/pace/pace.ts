import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Range } from '../ring/range.js';

/**
 * The pace of cold prefills in migrations: per range that changes its owner, the time from which this node may send the next
 * one.
 */
export type Pace = {
  readonly nextSlotUs: PersistentMap<PaceKey, Micros>;
  /** The number of entries at which those that lie in the past are dropped. */
  readonly most: number;
};

/** A range and the server that takes it over. */
export type PaceKey = string;

const minPruneSize = 128;

export const emptyPace: Pace = { nextSlotUs: emptyMap(), most: minPruneSize };

export const paceKeyOf = (key: ServerKey, range: Range): PaceKey => `${key}|${range.upTo}`;

/** Whether the next slot of a range has begun. */
export const isSlotFree = (pace: Pace, paceKey: PaceKey, atUs: Micros): boolean =>
  (pace.nextSlotUs.get(paceKey) ?? 0) <= atUs;

/** Uses up the current slot of a range. Keeps at most twice as many entries as ever lay in the future at once, or 128. */
export const takeSlot = (pace: Pace, paceKey: PaceKey, atUs: Micros, spanUs: Micros): Pace => {
  const slots = pace.nextSlotUs.set(paceKey, atUs + spanUs);
  if (slots.size < pace.most) return { nextSlotUs: slots, most: pace.most };
  const futureSlots = slots.filter((slotUs) => slotUs > atUs);
  return { nextSlotUs: futureSlots, most: Math.max(minPruneSize, futureSlots.size * 2) };
};
