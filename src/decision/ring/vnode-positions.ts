import { LRUCache } from 'lru-cache';
import { positionOf, type Position } from './position.js';

/** Capacity of the cache of positions, in servers; evicted ones are computed again. */
const maxCachedServers = 8192;

const cache = new LRUCache<string, readonly Position[]>({ max: maxCachedServers });

/** A server's positions on the ring, which depend on its id and the number of vnodes alone. */
export const vnodePositions = (id: string, vnodeCount: number): readonly Position[] => {
  const cacheKey = `${vnodeCount}#${id}`;
  const cached = cache.get(cacheKey);
  if (cached !== undefined) return cached;
  const positions = Array.from({ length: vnodeCount }, (_, index) => positionOf(`${id}#${index}`));
  cache.set(cacheKey, positions);
  return positions;
};
