import type { ServerKey } from '../../servers/list/server-key.js';
import type { Position } from './position.js';
import type { RingMember } from './ring-member.js';
import type { Vnode } from './vnode.js';
import { vnodePositions } from './vnode-positions.js';

/** A consistent-hash ring of prompt prefixes: the vnodes of all servers, sorted by position. */
export type Ring = {
  readonly vnodes: readonly Vnode[];
  /** The number of servers. */
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

/** The ring without one of its members; linear, without sorting. */
export const withoutMember = (ring: Ring, key: ServerKey): Ring => {
  const vnodes = ring.vnodes.filter((vnode) => vnode.owner !== key);
  return vnodes.length === ring.vnodes.length ? ring : { size: ring.size - 1, vnodes };
};

/** The ring with one more member, by a linear merge. */
export const withMember = (ring: Ring, member: RingMember, vnodeCount: number): Ring => {
  const memberVnodes = [...vnodesOf(member, vnodeCount)].sort(byPosition);
  const vnodes: Vnode[] = [];
  let memberIndex = 0;
  for (const vnode of ring.vnodes) {
    for (
      let own = memberVnodes[memberIndex];
      own !== undefined && byPosition(own, vnode) < 0;
      own = memberVnodes[memberIndex]
    ) {
      vnodes.push(own);
      memberIndex += 1;
    }
    vnodes.push(vnode);
  }
  return { size: ring.size + 1, vnodes: [...vnodes, ...memberVnodes.slice(memberIndex)] };
};

/** The index of the vnode that owns a position: the first at or after it, around the ring; -1 if the ring is empty. */
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

/** The first owner of a position; undefined if the ring is empty. */
export const ownerAt = (ring: Ring, position: Position): ServerKey | undefined =>
  ring.vnodes[vnodeIndexAt(ring, position)]?.owner;

/** Yields every server of the ring once, in the order of a walk from a vnode. */
export function* walkOwners(ring: Ring, firstIndex: number): Generator<ServerKey, void> {
  const seenOwners = new Set<ServerKey>();
  for (let step = 0; step < ring.vnodes.length && seenOwners.size < ring.size; step += 1) {
    const vnode = ring.vnodes[(firstIndex + step) % ring.vnodes.length];
    if (vnode === undefined || seenOwners.has(vnode.owner)) continue;
    seenOwners.add(vnode.owner);
    yield vnode.owner;
  }
}

/** Every server of the ring, in the order of a walk from a position. */
export const ownersFrom = (ring: Ring, position: Position): readonly ServerKey[] => [
  ...walkOwners(ring, vnodeIndexAt(ring, position)),
];

const ownersByRing = new WeakMap<Ring, ReadonlySet<ServerKey>>();

/** The servers of a ring; computed once per ring. */
export const ringOwners = (ring: Ring): ReadonlySet<ServerKey> => {
  const cachedOwners = ownersByRing.get(ring);
  if (cachedOwners !== undefined) return cachedOwners;
  const owners = new Set(ring.vnodes.map((vnode) => vnode.owner));
  ownersByRing.set(ring, owners);
  return owners;
};
