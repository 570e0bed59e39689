import type { Micros } from '../../common/micros.js';
import type { ServerList } from './server-list.js';

/**
 * A server list that the nodes assemble from polls of the platform, stamped with the fleet's own clock. The lists of one
 * fleet form a join-semilattice (a state-based CRDT): the version is monotone under the join, and the digest distinguishes
 * lists of the same version.
 */
export type PolledList = ServerList & {
  readonly digest: string;
  /** Tombstones from before this moment have been removed. */
  readonly floorUs: Micros;
  /** The contribution of the removed tombstones to the version. */
  readonly spent: number;
};

export const isPolledList = (list: ServerList | PolledList): list is PolledList => 'digest' in list;
