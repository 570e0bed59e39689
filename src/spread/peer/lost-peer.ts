import type { Micros } from '../../common/micros.js';
import type { Peer } from './peer.js';

/**
 * A peer that was declared dead. It is remembered for a while, so that outdated updates do not revive it and the two
 * sides of a healed partition contact each other again.
 */
export type LostPeer = {
  readonly partner: Peer;
  readonly incarnation: number;
  /** When the peer was declared dead. */
  readonly lostUs: Micros;
};
