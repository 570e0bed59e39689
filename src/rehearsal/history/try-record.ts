import type { Micros } from '../../common/micros.js';

/** One order that reached a server, whether the server ran it or turned it away. */
export type TryRecord = {
  readonly service: string;
  readonly call: string;
  readonly atUs: Micros;
};
