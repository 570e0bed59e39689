import type { ServerKey } from '../../servers/list/server-key.js';
import { positionOf, type Position } from './position.js';
import type { RingMember } from './ring-member.js';
import type { Vnode } from './vnode.js';

/** A prefix-hash ring: vnodes in order of position. */
export type Ring = {
  readonly vnodes: readonly Vnode[];
  readonly size: number;
};

export const ringOf = (members: readonly RingMember[], vnodeCount: number): Ring => ({
  size: members.length,
  vnodes: members
    .flatMap((member) =>
      Array.from({ length: vnodeCount }, (_, index) => ({ position: positionOf(`${member.id}#${index}`), owner: member.key })),
    )
    .sort((left, right) => left.position - right.position || (left.owner < right.owner ? -1 : 1)),
});

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

/** Every server of the ring, in the order in which a position meets them. */
export const ownersFrom = (ring: Ring, position: Position): readonly ServerKey[] => {
  const firstIndex = vnodeIndexAt(ring, position);
  const metOwners = new Set<ServerKey>();
  for (let step = 0; step < ring.vnodes.length && metOwners.size < ring.size; step += 1) {
    const metVnode = ring.vnodes[(firstIndex + step) % ring.vnodes.length];
    if (metVnode !== undefined) metOwners.add(metVnode.owner);
  }
  return [...metOwners];
};
