import type { Outcome } from './outcome.js';
import type { ProposalOutcome } from './proposal-outcome.js';
import type { ReplicatedState } from './replicated-state.js';

/** The replicated state after a command, and the command's outcome. */
export type Applied = {
  readonly state: ReplicatedState;
  readonly outcome: Outcome;
};

/** The result of a command that decides a proposal. */
export const appliedProposal = (state: ReplicatedState, outcome: ProposalOutcome): Applied => ({
  state,
  outcome: { type: 'proposal', outcome },
});
