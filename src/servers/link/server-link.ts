import type { ServerKey } from '../list/server-key.js';
import type { ForwardHandle } from './forward-handle.js';
import type { OpaqueResponseListener } from './opaque-response-listener.js';
import type { OpaqueRequest } from './opaque-request.js';
import type { DeliveryRequest } from './delivery-request.js';
import type { DeliveryResponse } from './delivery-response.js';

/** One TCP connection to one server whose identity was verified. The link ends with its connection and never reconnects. */
export type ServerLink = {
  readonly key: ServerKey;
  readonly isOpen: () => boolean;
  readonly close: () => void;
  /** Whether the server still answers on this link. */
  readonly probe: () => Promise<boolean>;
  /** Sends an exchange in the router's own protocol. Rejects if the link fails; aborting it closes the link. */
  readonly deliver: (order: DeliveryRequest, signal: AbortSignal) => Promise<DeliveryResponse>;
  /** Forwards an exchange without parsing its content; only on platforms whose servers have their own HTTP protocol. */
  readonly forward?: (order: OpaqueRequest, listener: OpaqueResponseListener) => ForwardHandle;
};
