import type { ServerKey } from '../../servers/list/server-key.js';

/** The current attempt of an exchange at a server. */
export type RunningAttempt = {
  readonly attempt: number;
  readonly server: ServerKey;
  readonly cancel: () => void;
};
