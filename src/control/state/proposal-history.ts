import { emptyBoundedMap, setBounded, type BoundedMap } from '../../common/bounded-map.js';
import type { ProposalOutcome } from './proposal-outcome.js';

/** How many decided proposals are remembered: four days of 1,000 changes each. */
export const maxRememberedProposals = 4_096;

/** The outcomes of proposals by their ids, in the order of their decision. */
export type ProposalHistory = {
  readonly outcomes: BoundedMap<string, ProposalOutcome>;
  /** The highest revision of an evicted proposal outcome. */
  readonly forgottenRevision: number;
};

export const emptyProposalHistory: ProposalHistory = { outcomes: emptyBoundedMap(), forgottenRevision: 0 };

/** Adds the outcome of a proposal; evicts the oldest one at the size limit. */
export const rememberProposal = (
  history: ProposalHistory,
  proposal: string,
  outcome: ProposalOutcome,
): ProposalHistory => {
  const { map, evicted } = setBounded(history.outcomes, proposal, outcome, maxRememberedProposals);
  const evictedRevisions = evicted.map(([, evictedOutcome]) => evictedOutcome.revision);
  return { outcomes: map, forgottenRevision: Math.max(history.forgottenRevision, ...evictedRevisions) };
};
