import type { ServerKey } from '../../servers/list/server-key.js';
import type { ServiceType } from '../../setup/document/service-type.js';
import type { Ring } from '../ring/ring.js';
import type { Migration } from './migration.js';

/** The ring of one service and its migrations at a platform time. */
export type ServiceTopology = {
  readonly service: string;
  readonly type: ServiceType;
  /** The ring in effect, without pending migrations. */
  readonly ring: Ring;
  readonly pending: readonly Migration[];
  /** Committed migrations whose cold prefixes are still paced. */
  readonly settling: readonly Migration[];
  /** Servers that have a booking but have not entered the ring. */
  readonly joining: readonly ServerKey[];
  /** Every server that may get new exchanges at all. */
  readonly allowed: ReadonlySet<ServerKey>;
  readonly localities: ReadonlyMap<ServerKey, string>;
};
