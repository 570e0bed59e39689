import type { ReadServer } from './read-server.js';

/** What the platform answered when it was asked; whole when no page is missing. */
export type ListReading = {
  readonly servers: readonly ReadServer[];
  readonly whole: boolean;
};
