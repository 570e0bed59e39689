/** The kind of a process: a router, or a control node of the Raft cluster. */
export type PeerRole = 'router' | 'control';
