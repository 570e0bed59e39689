import type { Micros } from '../../common/micros.js';
import type { PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';

/** What a server tells of itself with an answer: what it works on, what waits there, and how much it works on at once. */
export type ServerLoad = { readonly running: number; readonly waiting: number; readonly slots: number };

/** A load, and when it was told. */
export type KnownLoad = ServerLoad & { readonly atUs: Micros };

export type ServerLoads = PersistentMap<ServerKey, KnownLoad>;

/** From this part of its slots on a server counts as crowded. */
export const crowdedPart = 0.85;
/** What was told longer ago says nothing any more. */
export const loadLifeUs: Micros = 1_500_000;

export const isCrowdedBy = ({ running, waiting, slots }: ServerLoad): boolean =>
  running + waiting >= slots * crowdedPart;

/** The part of its slots that a server is known to have taken; none where nothing fresh is known. */
export const loadPartOf = (loads: ServerLoads, server: ServerKey, nowUs: Micros): number | undefined => {
  const known = loads.get(server);
  if (known === undefined || nowUs - known.atUs >= loadLifeUs || known.slots <= 0) return undefined;
  return (known.running + known.waiting) / known.slots;
};

/** Whether a server is known to have next to no room. */
export const isCrowded = (loads: ServerLoads, server: ServerKey, nowUs: Micros): boolean =>
  (loadPartOf(loads, server, nowUs) ?? 0) >= crowdedPart;
