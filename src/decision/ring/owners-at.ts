import type { ServerKey } from '../../servers/list/server-key.js';
import type { ServiceTopology } from '../topology/service-topology.js';
import { localitySizesOf } from './interleaved-owners.js';
import { interleaveByLocality, type LocalitySizes } from './interleave-by-locality.js';
import type { Position } from './position.js';
import { ringOwners, vnodeIndexAt, walkOwners } from './ring.js';

/** Sizes of the localities, and the first owners by vnode index. */
type OwnerCache = { readonly sizes: LocalitySizes; readonly first: Map<number, readonly ServerKey[]> };

/** Owners cached per vnode; those after them are found by walking the ring again. */
const cachedOwnersPerVnode = 8;

/** Caches live as long as their topology. */
const cacheByTopology = new WeakMap<ServiceTopology, OwnerCache>();

const localityLookup =
  (topology: ServiceTopology) =>
  (owner: ServerKey): string =>
    topology.localities.get(owner) ?? '';

const cacheOf = (topology: ServiceTopology): OwnerCache => {
  const cached = cacheByTopology.get(topology);
  if (cached !== undefined) return cached;
  const cache: OwnerCache = {
    sizes: localitySizesOf(ringOwners(topology.ring), localityLookup(topology)),
    first: new Map(),
  };
  cacheByTopology.set(topology, cache);
  return cache;
};

function* firstThenRest(first: readonly ServerKey[], rest: () => Iterable<ServerKey>): Generator<ServerKey, void> {
  yield* first;
  if (first.length < cachedOwnersPerVnode) return;
  let index = 0;
  for (const owner of rest()) {
    if (index >= first.length) yield owner;
    index += 1;
  }
}

/** The owners of a position, interleaved by locality: the first few from a cache, all of them by a lazy walk of the ring. */
export const ownersAt = (
  topology: ServiceTopology,
  position: Position,
): { readonly first: readonly ServerKey[]; readonly all: () => Iterable<ServerKey> } => {
  const cache = cacheOf(topology);
  const vnodeIndex = vnodeIndexAt(topology.ring, position);
  const walk = (): Iterable<ServerKey> =>
    interleaveByLocality(walkOwners(topology.ring, vnodeIndex), localityLookup(topology), cache.sizes);
  const cached = cache.first.get(vnodeIndex);
  const first = cached ?? [...takeFirst(walk(), cachedOwnersPerVnode)];
  if (cached === undefined) cache.first.set(vnodeIndex, first);
  return { first, all: () => firstThenRest(first, walk) };
};

function* takeFirst(owners: Iterable<ServerKey>, count: number): Generator<ServerKey, void> {
  let index = 0;
  for (const owner of owners) {
    yield owner;
    index += 1;
    if (index >= count) return;
  }
}
