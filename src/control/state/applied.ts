import type { Outcome } from './outcome.js';
import type { ProposalOutcome } from './proposal-outcome.js';
import type { ReplicatedState } from './replicated-state.js';

/** The state after a command, and the command's outcome. */
export type Applied = {
  readonly state: ReplicatedState;
  readonly outcome: Outcome;
};

/** A proposal's outcome with the state that goes with it. */
export const appliedProposal = (state: ReplicatedState, outcome: ProposalOutcome): Applied => ({
  state,
  outcome: { type: 'proposal', outcome },
});
