import type { Micros } from '../../common/micros.js';
import type { ListedServer } from './listed-server.js';

/** The platform's list of servers: told by the platform, which gives version and times, or asked for. */
export type ServerList = {
  readonly version: number;
  readonly atUs: Micros;
  readonly servers: readonly ListedServer[];
};
