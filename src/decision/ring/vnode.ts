import type { ServerKey } from '../../servers/list/server-key.js';
import type { Position } from './position.js';

/** A virtual node: one of a server's positions on the ring. */
export type Vnode = {
  readonly position: Position;
  readonly owner: ServerKey;
};
