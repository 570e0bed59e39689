import type { CommandOutcome } from './command-outcome.js';
import type { ProposalOutcome } from './proposal-outcome.js';
import type { ReplicatedState } from './replicated-state.js';

/** The replicated state after a command, and the command's outcome. */
export type ApplyResult = {
  readonly state: ReplicatedState;
  readonly outcome: CommandOutcome;
};

/** The result of a command that decides a proposal. */
export const proposalResult = (state: ReplicatedState, outcome: ProposalOutcome): ApplyResult => ({
  state,
  outcome: { type: 'proposal', outcome },
});
