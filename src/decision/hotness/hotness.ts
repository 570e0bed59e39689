import { lowestRankedKeys } from '../../common/lowest-ranked-keys.js';
import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import { positionEnd, type Position } from '../ring/position.js';
import type { Prefix } from '../ring/prefix.js';
import type { HotPrefix } from './hot-prefix.js';

/** The hot prefixes of a router, bounded in number, and an index of them by arc of the ring. */
export type Hotness = {
  readonly prefixes: PersistentMap<Prefix, HotPrefix>;
  readonly arcs: PersistentMap<number, readonly Prefix[]>;
};

export const emptyHotness: Hotness = { prefixes: emptyMap(), arcs: emptyMap() };

const scoreHalfLifeUs = 30_000_000;
const maxPrefixes = 4096;
/** Number of equal arcs of the index: about one for each tracked prefix. */
export const arcCount = 4096;

/** The index of the arc that contains a position. */
export const arcAt = (position: Position): number => Math.floor(position / (positionEnd / arcCount));

/** The score of a prefix, decayed to `atUs`. */
export const scoreAt = (hotPrefix: HotPrefix, atUs: Micros): number =>
  hotPrefix.score * 2 ** ((hotPrefix.scoredAtUs - atUs) / scoreHalfLifeUs);

/** Evicts an eighth at once, so that one ranking of the prefixes makes room for many new ones. */
const evictColdest = ({ prefixes, arcs }: Hotness, atUs: Micros): Hotness => {
  const evictedPrefixes = new Set(lowestRankedKeys(prefixes, maxPrefixes / 8, (hotPrefix) => scoreAt(hotPrefix, atUs)));
  const affectedArcs = new Set([...evictedPrefixes].flatMap((prefix) => arcAt(prefixes.get(prefix)?.position ?? 0)));
  return {
    prefixes: prefixes.deleteAll(evictedPrefixes),
    arcs: arcs.withMutations((mutableArcs) => {
      for (const arc of affectedArcs) {
        const remainingPrefixes = (arcs.get(arc) ?? []).filter((prefix) => !evictedPrefixes.has(prefix));
        if (remainingPrefixes.length === 0) mutableArcs.delete(arc);
        else mutableArcs.set(arc, remainingPrefixes);
      }
    }),
  };
};

/** Counts one request for a prefix. A new prefix evicts the coldest ones if the table is full. */
export const countRequest = (
  hotness: Hotness,
  request: {
    readonly prefix: Prefix;
    readonly position: Position;
    readonly service: string;
    readonly tierIndex: number;
    readonly weight: number;
    readonly atUs: Micros;
  },
): Hotness => {
  const existing = hotness.prefixes.get(request.prefix);
  const base =
    existing === undefined && hotness.prefixes.size >= maxPrefixes ? evictColdest(hotness, request.atUs) : hotness;
  const arc = arcAt(request.position);
  return {
    prefixes: base.prefixes.set(request.prefix, {
      position: request.position,
      service: request.service,
      tierIndex: Math.min(existing?.tierIndex ?? request.tierIndex, request.tierIndex),
      score: (existing === undefined ? 0 : scoreAt(existing, request.atUs)) + request.weight,
      scoredAtUs: request.atUs,
    }),
    arcs: existing === undefined ? base.arcs.set(arc, [...(base.arcs.get(arc) ?? []), request.prefix]) : base.arcs,
  };
};
