/** The state of a peer, as in SWIM: alive, suspect after unanswered probes, or dead after an unrefuted suspicion. */
export type PeerState = 'alive' | 'suspect' | 'dead';
