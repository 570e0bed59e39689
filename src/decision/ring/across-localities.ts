import type { ServerKey } from '../../servers/list/server-key.js';

/**
 * The owners of a position in the order in which work falls back on them: the ring's own first, then always the next on
 * the ring of the locality that has come least often so far. One lost locality thus never takes an opening's next owners
 * all at once, wherever servers stand in more than one.
 */
export const acrossLocalities = (owners: readonly ServerKey[], localityOf: (owner: ServerKey) => string): readonly ServerKey[] => {
  const waitingOwners = [...owners];
  const orderedOwners: ServerKey[] = [];
  const counts = new Map<string, number>();
  while (waitingOwners.length > 0) {
    const countOf = (owner: ServerKey): number => counts.get(localityOf(owner)) ?? 0;
    const leastCount = Math.min(...waitingOwners.map(countOf));
    const nextPlace = waitingOwners.findIndex((owner) => countOf(owner) === leastCount);
    for (const nextOwner of waitingOwners.splice(nextPlace, 1)) {
      orderedOwners.push(nextOwner);
      counts.set(localityOf(nextOwner), countOf(nextOwner) + 1);
    }
  }
  return orderedOwners;
};
