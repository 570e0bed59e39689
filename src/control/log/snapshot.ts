import type { Member } from '../members/member.js';
import type { ReplicatedState } from '../state/replicated-state.js';

/** The folded log up to an index. */
export type Snapshot = {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  readonly state: ReplicatedState;
};
