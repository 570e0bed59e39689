import { boolean, mixed, number, object, string } from 'yup';
import { typed, unionGuard } from '../../common/union.js';
import type { CommandOutcome } from '../state/command-outcome.js';
import type { ProposalOutcome } from '../state/proposal-outcome.js';

const revision = () => number().required().integer().min(0);

export const isProposalOutcome = unionGuard<ProposalOutcome>({
  committed: object({ type: typed('committed'), revision: revision() }),
  conflict: object({ type: typed('conflict'), revision: revision() }),
  cancelled: object({ type: typed('cancelled'), revision: revision() }),
  forgotten: object({ type: typed('forgotten'), revision: revision() }),
});

export const isCommandOutcome = unionGuard<CommandOutcome>({
  done: object({ type: typed('done') }),
  claimed: object({ type: typed('claimed'), won: boolean().required(), holder: string().required() }),
  'claims-full': object({ type: typed('claims-full') }),
  proposal: object({ type: typed('proposal'), outcome: mixed(isProposalOutcome).required() }),
});
