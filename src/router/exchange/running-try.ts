import type { ServerKey } from '../../servers/list/server-key.js';

/** The try of an exchange that runs now. */
export type RunningTry = {
  readonly attempt: number;
  readonly server: ServerKey;
  readonly cancel: () => void;
};
