import type { ServerKey } from '../../servers/list/server-key.js';
import type { Position } from './position.js';

/** One of a server's points on the ring. */
export type Vnode = {
  readonly position: Position;
  readonly owner: ServerKey;
};
