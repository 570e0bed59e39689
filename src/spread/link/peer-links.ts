import type { EventEmitter } from 'node:events';
import type { Frame } from '../frame/frame.js';
import type { LinkEvents } from './link-events.js';

/** Links to all peers. Delivery is best-effort: a frame to an unreachable peer is lost without an error. */
export type PeerLinks = {
  readonly events: EventEmitter<LinkEvents>;
  /** Starts to accept connections; rejects if the address is not available. */
  readonly listen: () => Promise<void>;
  readonly send: (address: string, frame: Frame) => void;
  readonly close: () => void;
};
