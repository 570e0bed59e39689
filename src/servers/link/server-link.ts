import type { ServerKey } from '../list/server-key.js';
import type { Carriage } from './carriage.js';
import type { CarryListener } from './carry-listener.js';
import type { OpaqueOrder } from './opaque-order.js';
import type { ServerOrder } from './server-order.js';
import type { ServerReceipt } from './server-receipt.js';

/** One TCP connection to one server whose identity was verified. The link ends with its connection and never reconnects. */
export type ServerLink = {
  readonly key: ServerKey;
  readonly isOpen: () => boolean;
  readonly close: () => void;
  /** Whether the server still answers on this link. */
  readonly confirm: () => Promise<boolean>;
  /** Sends an exchange in the router's own protocol. Rejects if the link fails; aborting it closes the link. */
  readonly deliver: (order: ServerOrder, signal: AbortSignal) => Promise<ServerReceipt>;
  /** Forwards an exchange without parsing its content; only on platforms whose servers have their own HTTP protocol. */
  readonly carry?: (order: OpaqueOrder, listener: CarryListener) => Carriage;
};
