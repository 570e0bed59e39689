import type { Micros } from '../../common/micros.js';
import type { Peer } from './peer.js';

/** A peer that is alive or suspect. */
export type LivePeer = {
  readonly partner: Peer;
  readonly incarnation: number;
  /** When a frame of the peer last arrived, or an update with a new incarnation. */
  readonly heardUs: Micros;
  /** Since when the peer is suspect; undefined while it is alive. */
  readonly suspectUs: Micros | undefined;
};
