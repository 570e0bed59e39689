import type { ServerKey } from '../../servers/list/server-key.js';

/** A server as the ring knows it; its points follow from its id alone. */
export type RingMember = {
  readonly key: ServerKey;
  readonly id: string;
};
