import type { Member } from '../members/member.js';
import type { ReplicatedState } from '../state/replicated-state.js';

/** The replicated state and the members after all entries up to `index`; replaces these entries in the log. */
export type Snapshot = {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  readonly state: ReplicatedState;
};
