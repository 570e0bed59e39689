import { positionEnd, type Position } from './position.js';
import type { Range } from './range.js';
import type { RingMember } from './ring-member.js';
import { ownerAt, vnodeIndexAt, type Ring } from './ring.js';
import { vnodePositions } from './vnode-positions.js';

const boundariesOf = (before: Ring, after: Ring): readonly Position[] =>
  [...new Set([...before.vnodes, ...after.vnodes].map((vnode) => vnode.position))].sort((left, right) => left - right);

/** Every arc whose owner differs between two rings, across all vnodes, before the change is made. */
export const previewRanges = (before: Ring, after: Ring): readonly Range[] => {
  const boundaryPositions = boundariesOf(before, after);
  return boundaryPositions.flatMap((upTo, index) => {
    const previousBoundary = boundaryPositions[index - 1] ?? boundaryPositions[boundaryPositions.length - 1] ?? upTo;
    const from = ownerAt(before, upTo);
    const to = ownerAt(after, upTo);
    return to === undefined || to === from ? [] : [{ after: previousBoundary, upTo, from, to }];
  });
};

/** The arcs that one member takes over when it joins a ring: the same as `previewRanges` of the two rings. */
export const joinRanges = (before: Ring, member: RingMember, vnodeCount: number): readonly Range[] => {
  const ownPositions = [...new Set(vnodePositions(member.id, vnodeCount))].sort((left, right) => left - right);
  return ownPositions.flatMap((upTo, index) => {
    const nextIndex = vnodeIndexAt(before, upTo);
    const nextVnode = before.vnodes[nextIndex];
    if (nextVnode?.position === upTo && nextVnode.owner < member.key) return [];
    const ownBefore = ownPositions[index - 1] ?? ownPositions[ownPositions.length - 1] ?? upTo;
    const ringBefore =
      before.vnodes[(nextIndex + before.vnodes.length - 1) % before.vnodes.length]?.position ?? ownBefore;
    return [{ after: nearestBefore(upTo, ownBefore, ringBefore), upTo, from: nextVnode?.owner, to: member.key }];
  });
};

/** The arcs that fall to others when one member leaves a ring: those of its joining, the other way round. */
export const leaveRanges = (after: Ring, member: RingMember, vnodeCount: number): readonly Range[] =>
  joinRanges(after, member, vnodeCount).flatMap(({ from, to, ...arc }) =>
    from === undefined ? [] : [{ ...arc, from: to, to: from }],
  );

/** Which of two positions a walk back from a third meets first. */
const nearestBefore = (upTo: Position, left: Position, right: Position): Position => {
  const wayTo = (position: Position): number => (position < upTo ? upTo - position : upTo - position + positionEnd);
  return wayTo(left) <= wayTo(right) ? left : right;
};
