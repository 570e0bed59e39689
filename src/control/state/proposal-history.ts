import { emptyBoundedMap, remember, type BoundedMap } from '../../common/bounded-map.js';
import type { ProposalOutcome } from './proposal-outcome.js';

/** How many decided proposals are remembered by their ids: four days of 1,000 changes each. */
export const maxRememberedProposals = 4_096;

/** The outcomes of proposals by their ids, oldest first. */
export type ProposalHistory = {
  readonly outcomes: BoundedMap<string, ProposalOutcome>;
  /** The highest revision of a committed proposal that is no longer remembered. */
  readonly forgottenRevision: number;
};

export const emptyProposalHistory: ProposalHistory = { outcomes: emptyBoundedMap(), forgottenRevision: 0 };

export const rememberProposal = (
  history: ProposalHistory,
  proposal: string,
  outcome: ProposalOutcome,
): ProposalHistory => {
  const { map, evicted } = remember(history.outcomes, proposal, outcome, maxRememberedProposals);
  const evictedRevisions = evicted.map(([, evictedOutcome]) => evictedOutcome.revision);
  return { outcomes: map, forgottenRevision: Math.max(history.forgottenRevision, ...evictedRevisions) };
};
