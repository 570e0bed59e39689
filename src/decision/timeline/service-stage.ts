import type { ServerKey } from '../../servers/list/server-key.js';
import type { ServiceType } from '../../setup/document/service-type.js';
import type { Ring } from '../ring/ring.js';
import type { Migration } from './migration.js';

/** How one service stands on the time line at a moment. */
export type ServiceStage = {
  readonly service: string;
  readonly type: ServiceType;
  /** The ring that holds now; a pending migration is not in it yet. */
  readonly ring: Ring;
  readonly pending: readonly Migration[];
  /** Committed migrations whose cold openings are still paced. */
  readonly settling: readonly Migration[];
  /** Servers that are booked but have not entered. */
  readonly joining: readonly ServerKey[];
  /** Every server that may get new work at all. */
  readonly allowed: ReadonlySet<ServerKey>;
  readonly localities: ReadonlyMap<ServerKey, string>;
};
