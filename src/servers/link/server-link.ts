import type { ServerKey } from '../list/server-key.js';
import type { Carriage } from './carriage.js';
import type { CarryListener } from './carry-listener.js';
import type { OpaqueOrder } from './opaque-order.js';
import type { ServerOrder } from './server-order.js';
import type { ServerReceipt } from './server-receipt.js';

/** One TCP connection to one confirmed server. When the connection ends the link ends; it never dials again. */
export type ServerLink = {
  readonly key: ServerKey;
  readonly isOpen: () => boolean;
  readonly close: () => void;
  /** Asks whether the server still answers on this link. */
  readonly confirm: () => Promise<boolean>;
  /** Hands an order over; it is lost with the link. Aborting it ends the link. */
  readonly deliver: (order: ServerOrder, signal: AbortSignal) => Promise<ServerReceipt>;
  /** Carries an exchange whose text passes unread, where servers speak a way of their own. */
  readonly carry?: (order: OpaqueOrder, listener: CarryListener) => Carriage;
};
