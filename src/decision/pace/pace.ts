import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Range } from '../ring/range.js';

/** When each range of a changing server may next take a prefill from this node. */
export type Pace = {
  readonly freeUs: PersistentMap<PaceKey, Micros>;
  /** Slots that lie behind are forgotten once there are so many. */
  readonly most: number;
};

/** A range at the server that takes it over. */
export type PaceKey = string;

const leastMost = 128;

export const emptyPace: Pace = { freeUs: emptyMap(), most: leastMost };

export const paceKeyOf = (key: ServerKey, range: Range): PaceKey => `${key}|${range.upTo}`;

export const paceAllows = (pace: Pace, paceKey: PaceKey, atUs: Micros): boolean =>
  (pace.freeUs.get(paceKey) ?? 0) <= atUs;

/** Takes the range's next slot. At most twice as many slots are kept as were ahead at once, and 128. */
export const paceTaken = (pace: Pace, paceKey: PaceKey, atUs: Micros, spanUs: Micros): Pace => {
  const freeUs = pace.freeUs.set(paceKey, atUs + spanUs);
  if (freeUs.size < pace.most) return { freeUs, most: pace.most };
  const aheadUs = freeUs.filter((slotUs) => slotUs > atUs);
  return { freeUs: aheadUs, most: Math.max(leastMost, aheadUs.size * 2) };
};
