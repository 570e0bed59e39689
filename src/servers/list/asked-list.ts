import type { Micros } from '../../common/micros.js';
import type { ServerList } from './server-list.js';

/**
 * A list put together from readings, on the fleet's own time line. Lists of one fleet form a join-semilattice; the
 * version is monotone under the join, and the digest tells apart what has the same version.
 */
export type AskedList = ServerList & {
  readonly digest: string;
  /** Tombstones from before this moment have been dropped. */
  readonly floorUs: Micros;
  /** What the dropped tombstones gave to the version. */
  readonly spent: number;
};

export const isAsked = (list: ServerList | AskedList): list is AskedList => 'digest' in list;
