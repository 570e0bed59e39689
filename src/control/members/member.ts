/**
 * One control node of the core, the Raft cluster that replicates setups and claims. The identity belongs to the disk: a
 * node that restarts with an empty disk has a new identity. A member that is not a voter is a learner.
 */
export type Member = {
  readonly identity: string;
  readonly address: string;
  readonly voter: boolean;
};
