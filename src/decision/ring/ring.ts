import type { ServerKey } from '../../servers/list/server-key.js';
import type { Position } from './position.js';
import type { RingMember } from './ring-member.js';
import type { Vnode } from './vnode.js';
import { vnodePositions } from './vnode-positions.js';

/** A prefix-hash ring: vnodes in order of position. */
export type Ring = {
  readonly vnodes: readonly Vnode[];
  readonly size: number;
};

const byPosition = (left: Vnode, right: Vnode): number =>
  left.position - right.position || (left.owner < right.owner ? -1 : 1);

const vnodesOf = (member: RingMember, vnodeCount: number): readonly Vnode[] =>
  vnodePositions(member.id, vnodeCount).map((position) => ({ position, owner: member.key }));

export const ringOf = (members: readonly RingMember[], vnodeCount: number): Ring => ({
  size: members.length,
  vnodes: members.flatMap((member) => vnodesOf(member, vnodeCount)).sort(byPosition),
});

/** The ring without one of its members, made without sorting anew. */
export const withoutMember = (ring: Ring, key: ServerKey): Ring => {
  const vnodes = ring.vnodes.filter((vnode) => vnode.owner !== key);
  return vnodes.length === ring.vnodes.length ? ring : { size: ring.size - 1, vnodes };
};

/** The ring with one more member, made without sorting anew. */
export const withMember = (ring: Ring, member: RingMember, vnodeCount: number): Ring => {
  const ownVnodes = [...vnodesOf(member, vnodeCount)].sort(byPosition);
  const vnodes: Vnode[] = [];
  let ownIndex = 0;
  for (const vnode of ring.vnodes) {
    for (let own = ownVnodes[ownIndex]; own !== undefined && byPosition(own, vnode) < 0; own = ownVnodes[ownIndex]) {
      vnodes.push(own);
      ownIndex += 1;
    }
    vnodes.push(vnode);
  }
  return { size: ring.size + 1, vnodes: [...vnodes, ...ownVnodes.slice(ownIndex)] };
};

/** The index of the vnode that owns a position: the first at or after it, around the ring. */
export const vnodeIndexAt = (ring: Ring, position: Position): number => {
  let lowIndex = 0;
  let highIndex = ring.vnodes.length;
  while (lowIndex < highIndex) {
    const middleIndex = (lowIndex + highIndex) >>> 1;
    const middleVnode = ring.vnodes[middleIndex];
    if (middleVnode !== undefined && middleVnode.position < position) lowIndex = middleIndex + 1;
    else highIndex = middleIndex;
  }
  return ring.vnodes.length === 0 ? -1 : lowIndex % ring.vnodes.length;
};

export const ownerAt = (ring: Ring, position: Position): ServerKey | undefined =>
  ring.vnodes[vnodeIndexAt(ring, position)]?.owner;

/** Every server of the ring, in the order in which they are met from a vnode on. */
export function* walkedOwners(ring: Ring, firstIndex: number): Generator<ServerKey, void> {
  const metOwners = new Set<ServerKey>();
  for (let step = 0; step < ring.vnodes.length && metOwners.size < ring.size; step += 1) {
    const metVnode = ring.vnodes[(firstIndex + step) % ring.vnodes.length];
    if (metVnode === undefined || metOwners.has(metVnode.owner)) continue;
    metOwners.add(metVnode.owner);
    yield metVnode.owner;
  }
}

/** Every server of the ring, in the order in which a position meets them. */
export const ownersFrom = (ring: Ring, position: Position): readonly ServerKey[] => [
  ...walkedOwners(ring, vnodeIndexAt(ring, position)),
];

const ownersByRing = new WeakMap<Ring, ReadonlySet<ServerKey>>();

/** The servers of a ring, found once for each ring. */
export const ringOwners = (ring: Ring): ReadonlySet<ServerKey> => {
  const knownOwners = ownersByRing.get(ring);
  if (knownOwners !== undefined) return knownOwners;
  const owners = new Set(ring.vnodes.map((vnode) => vnode.owner));
  ownersByRing.set(ring, owners);
  return owners;
};
