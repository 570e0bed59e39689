import type { Position } from './position.js';
import type { Range } from './range.js';
import { ownerAt, type Ring } from './ring.js';

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
