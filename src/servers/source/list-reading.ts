import type { ReadServer } from './read-server.js';

/** The result of one poll of the platform's server list; `whole` if no page is missing. */
export type ListReading = {
  readonly servers: readonly ReadServer[];
  readonly whole: boolean;
};
