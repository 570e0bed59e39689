import type { ServerKey } from '../../servers/list/server-key.js';
import { ownersInTurn } from './owners-in-turn.js';

/** The number of servers in each locality. */
export const sizesOf = (
  owners: Iterable<ServerKey>,
  localityOf: (owner: ServerKey) => string,
): ReadonlyMap<string, number> => {
  const sizes = new Map<string, number>();
  for (const owner of owners) sizes.set(localityOf(owner), (sizes.get(localityOf(owner)) ?? 0) + 1);
  return sizes;
};

/** All owners in the order of `interleaveByLocality`. */
export const acrossLocalities = (
  owners: readonly ServerKey[],
  localityOf: (owner: ServerKey) => string,
): readonly ServerKey[] => [...ownersInTurn(owners, localityOf, sizesOf(owners, localityOf))];
