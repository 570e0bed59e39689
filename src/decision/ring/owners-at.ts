import type { ServerKey } from '../../servers/list/server-key.js';
import type { ServiceStage } from '../timeline/service-stage.js';
import { sizesOf } from './across-localities.js';
import { ownersInTurn, type LocalitySizes } from './owners-in-turn.js';
import type { Position } from './position.js';
import { ringOwners, vnodeIndexAt, walkedOwners } from './ring.js';

/** Sizes of the localities, and the first owners by vnode index. */
type OwnerCache = { readonly sizes: LocalitySizes; readonly first: Map<number, readonly ServerKey[]> };

/** Owners cached per vnode; those after them are found by walking the ring again. */
const cachedOwnersPerVnode = 8;

/** Caches live as long as their topology. */
const cacheByTopology = new WeakMap<ServiceStage, OwnerCache>();

const localityLookup =
  (topology: ServiceStage) =>
  (owner: ServerKey): string =>
    topology.localities.get(owner) ?? '';

const cacheOf = (topology: ServiceStage): OwnerCache => {
  const cached = cacheByTopology.get(topology);
  if (cached !== undefined) return cached;
  const cache: OwnerCache = { sizes: sizesOf(ringOwners(topology.ring), localityLookup(topology)), first: new Map() };
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
  topology: ServiceStage,
  position: Position,
): { readonly first: readonly ServerKey[]; readonly all: () => Iterable<ServerKey> } => {
  const cache = cacheOf(topology);
  const vnodeIndex = vnodeIndexAt(topology.ring, position);
  const walk = (): Iterable<ServerKey> =>
    ownersInTurn(walkedOwners(topology.ring, vnodeIndex), localityLookup(topology), cache.sizes);
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
