import type { Micros } from '../../common/micros.js';
import type { ListedServer } from './listed-server.js';

/** The platform's list of servers: pushed by the platform, with its version and stamps, or assembled from polls (`PolledList`). */
export type ServerList = {
  readonly version: number;
  readonly atUs: Micros;
  readonly servers: readonly ListedServer[];
};
