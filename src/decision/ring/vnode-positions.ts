import { LRUCache } from 'lru-cache';
import { positionOf, type Position } from './position.js';

/** At most so many servers' points are kept; any other is worked out anew. */
const keptServers = 8192;

const kept = new LRUCache<string, readonly Position[]>({ max: keptServers });

/** A server's points on the ring, which follow from its id alone. */
export const vnodePositions = (id: string, vnodeCount: number): readonly Position[] => {
  const name = `${vnodeCount}#${id}`;
  const known = kept.get(name);
  if (known !== undefined) return known;
  const positions = Array.from({ length: vnodeCount }, (_, index) => positionOf(`${id}#${index}`));
  kept.set(name, positions);
  return positions;
};
