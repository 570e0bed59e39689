import type { PeerState } from './peer-state.js';
import type { Peer } from './peer.js';

/** A membership update, as in SWIM. A peer raises its incarnation to refute a wrong update about itself. */
export type MembershipUpdate = {
  readonly partner: Peer;
  readonly incarnation: number;
  readonly state: PeerState;
};
