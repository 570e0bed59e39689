import type { PeerRole } from './peer-role.js';

/** A process of the fleet, as it describes itself to the others. */
export type Peer = {
  /** The name of the node. */
  readonly node: string;
  readonly role: PeerRole;
  /** Where it accepts links from peers, as `IP:port`. */
  readonly address: string;
  /** Where it serves HTTP, as `IP:port`. */
  readonly http: string;
  readonly locality: string;
};
