import { positionEnd, type Position } from './position.js';
import type { Range } from './range.js';
import type { RingMember } from './ring-member.js';
import { ownerAt, vnodeIndexAt, type Ring } from './ring.js';
import { vnodePositions } from './vnode-positions.js';

const boundariesOf = (before: Ring, after: Ring): readonly Position[] =>
  [...new Set([...before.vnodes, ...after.vnodes].map((vnode) => vnode.position))].sort((left, right) => left - right);

/** The preview of a change: every arc whose owner differs between two rings, across all vnodes. */
export const previewRanges = (before: Ring, after: Ring): readonly Range[] => {
  const boundaryPositions = boundariesOf(before, after);
  return boundaryPositions.flatMap((upTo, index) => {
    const previousBoundary = boundaryPositions[index - 1] ?? boundaryPositions[boundaryPositions.length - 1] ?? upTo;
    const from = ownerAt(before, upTo);
    const to = ownerAt(after, upTo);
    return to === undefined || to === from ? [] : [{ after: previousBoundary, upTo, from, to }];
  });
};

/** The arcs that one member takes over when it joins a ring; equals `previewRanges` of the rings before and after. */
export const joinRanges = (before: Ring, member: RingMember, vnodeCount: number): readonly Range[] => {
  const memberPositions = [...new Set(vnodePositions(member.id, vnodeCount))].sort((left, right) => left - right);
  return memberPositions.flatMap((upTo, index) => {
    const nextIndex = vnodeIndexAt(before, upTo);
    const nextVnode = before.vnodes[nextIndex];
    if (nextVnode?.position === upTo && nextVnode.owner < member.key) return [];
    const memberBefore = memberPositions[index - 1] ?? memberPositions[memberPositions.length - 1] ?? upTo;
    const ringBefore =
      before.vnodes[(nextIndex + before.vnodes.length - 1) % before.vnodes.length]?.position ?? memberBefore;
    return [{ after: nearestBefore(upTo, memberBefore, ringBefore), upTo, from: nextVnode?.owner, to: member.key }];
  });
};

/** The arcs that others take over when one member leaves; the reverse of its joining the ring `after`. */
export const leaveRanges = (after: Ring, member: RingMember, vnodeCount: number): readonly Range[] =>
  joinRanges(after, member, vnodeCount).flatMap(({ from, to, ...arc }) =>
    from === undefined ? [] : [{ ...arc, from: to, to: from }],
  );

/** The position that comes first when walking the ring backwards from `upTo`. */
const nearestBefore = (upTo: Position, left: Position, right: Position): Position => {
  const distance = (position: Position): number => (position < upTo ? upTo - position : upTo - position + positionEnd);
  return distance(left) <= distance(right) ? left : right;
};
