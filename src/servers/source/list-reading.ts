import type { PolledServer } from './polled-server.js';

/** The result of one poll of the platform's server list; `whole` if no page is missing. */
export type ListReading = {
  readonly servers: readonly PolledServer[];
  readonly whole: boolean;
};
