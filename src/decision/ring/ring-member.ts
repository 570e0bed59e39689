import type { ServerKey } from '../../servers/list/server-key.js';

/** A server on the ring; its positions depend on its id alone. */
export type RingMember = {
  readonly key: ServerKey;
  readonly id: string;
};
