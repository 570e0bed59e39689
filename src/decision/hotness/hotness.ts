import type { Micros } from '../../common/micros.js';
import type { Position } from '../ring/position.js';
import type { Prefix } from '../ring/prefix.js';
import type { HotPrefix } from './hot-prefix.js';

/** The hot openings of a node, bounded in number. */
export type Hotness = ReadonlyMap<Prefix, HotPrefix>;

const halfLifeUs = 30_000_000;
const mostPrefixes = 4096;

export const scoreAt = (hotPrefix: HotPrefix, atUs: Micros): number =>
  hotPrefix.score * 2 ** ((hotPrefix.scoredAtUs - atUs) / halfLifeUs);

const withoutCoolest = (hotness: Map<Prefix, HotPrefix>, atUs: Micros): void => {
  const sortedEntries = [...hotness].sort((left, right) => scoreAt(left[1], atUs) - scoreAt(right[1], atUs));
  for (const [coolPrefix] of sortedEntries.slice(0, mostPrefixes / 8)) hotness.delete(coolPrefix);
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
  const knownPrefix = hotness.get(touch.prefix);
  const changedHotness = new Map(hotness);
  if (knownPrefix === undefined && hotness.size >= mostPrefixes) withoutCoolest(changedHotness, touch.atUs);
  changedHotness.set(touch.prefix, {
    position: touch.position,
    service: touch.service,
    tierPlace: Math.min(knownPrefix?.tierPlace ?? touch.tierPlace, touch.tierPlace),
    score: (knownPrefix === undefined ? 0 : scoreAt(knownPrefix, touch.atUs)) + touch.weight,
    scoredAtUs: touch.atUs,
  });
  return changedHotness;
};
