import type { Client } from 'undici';
import type { ServerKey } from '../list/server-key.js';

/** One TCP connection to one confirmed server. When the connection ends the link ends; it never dials again. */
export type ServerLink = {
  readonly key: ServerKey;
  readonly client: Client;
  readonly isOpen: () => boolean;
  readonly close: () => void;
};
