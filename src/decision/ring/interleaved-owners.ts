import type { ServerKey } from '../../servers/list/server-key.js';
import { interleaveByLocality } from './interleave-by-locality.js';

/** The number of servers in each locality. */
export const localitySizesOf = (
  owners: Iterable<ServerKey>,
  localityOf: (owner: ServerKey) => string,
): ReadonlyMap<string, number> => {
  const sizes = new Map<string, number>();
  for (const owner of owners) sizes.set(localityOf(owner), (sizes.get(localityOf(owner)) ?? 0) + 1);
  return sizes;
};

/** All owners in the order of `interleaveByLocality`. */
export const interleavedOwners = (
  owners: readonly ServerKey[],
  localityOf: (owner: ServerKey) => string,
): readonly ServerKey[] => [...interleaveByLocality(owners, localityOf, localitySizesOf(owners, localityOf))];
