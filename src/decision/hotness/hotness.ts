import { leastKeys } from '../../common/least-keys.js';
import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import { positionEnd, type Position } from '../ring/position.js';
import type { Prefix } from '../ring/prefix.js';
import type { HotPrefix } from './hot-prefix.js';

/** The hot openings of a node, bounded in number, and which of them lie in each arc of the ring. */
export type Hotness = {
  readonly prefixes: PersistentMap<Prefix, HotPrefix>;
  readonly arcs: PersistentMap<number, readonly Prefix[]>;
};

export const emptyHotness: Hotness = { prefixes: emptyMap(), arcs: emptyMap() };

const halfLifeUs = 30_000_000;
const mostPrefixes = 4096;
/** The arcs into which the ring is cut: about as many as there are openings. */
export const arcCount = 4096;

export const arcAt = (position: Position): number => Math.floor(position / (positionEnd / arcCount));

export const scoreAt = (hotPrefix: HotPrefix, atUs: Micros): number =>
  hotPrefix.score * 2 ** ((hotPrefix.scoredAtUs - atUs) / halfLifeUs);

/** Makes room for an eighth at once, so that the openings are ranked once for many new ones. */
const withoutCoolest = ({ prefixes, arcs }: Hotness, atUs: Micros): Hotness => {
  const coolPrefixes = new Set(leastKeys(prefixes, mostPrefixes / 8, (hotPrefix) => scoreAt(hotPrefix, atUs)));
  const coolArcs = new Set([...coolPrefixes].flatMap((prefix) => arcAt(prefixes.get(prefix)?.position ?? 0)));
  return {
    prefixes: prefixes.deleteAll(coolPrefixes),
    arcs: arcs.withMutations((changedArcs) => {
      for (const arc of coolArcs) {
        const keptPrefixes = (arcs.get(arc) ?? []).filter((prefix) => !coolPrefixes.has(prefix));
        if (keptPrefixes.length === 0) changedArcs.delete(arc);
        else changedArcs.set(arc, keptPrefixes);
      }
    }),
  };
};

export const heated = (
  hotness: Hotness,
  touch: {
    readonly prefix: Prefix;
    readonly position: Position;
    readonly service: string;
    readonly tierPlace: number;
    readonly weight: number;
    readonly atUs: Micros;
  },
): Hotness => {
  const knownPrefix = hotness.prefixes.get(touch.prefix);
  const roomyHotness =
    knownPrefix === undefined && hotness.prefixes.size >= mostPrefixes ? withoutCoolest(hotness, touch.atUs) : hotness;
  const arc = arcAt(touch.position);
  return {
    prefixes: roomyHotness.prefixes.set(touch.prefix, {
      position: touch.position,
      service: touch.service,
      tierPlace: Math.min(knownPrefix?.tierPlace ?? touch.tierPlace, touch.tierPlace),
      score: (knownPrefix === undefined ? 0 : scoreAt(knownPrefix, touch.atUs)) + touch.weight,
      scoredAtUs: touch.atUs,
    }),
    arcs:
      knownPrefix === undefined
        ? roomyHotness.arcs.set(arc, [...(roomyHotness.arcs.get(arc) ?? []), touch.prefix])
        : roomyHotness.arcs,
  };
};
