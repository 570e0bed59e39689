import { boolean, mixed, number, object, string } from 'yup';
import { literalType, unionGuard } from '../../common/union.js';
import type { CommandOutcome } from '../state/command-outcome.js';
import type { ProposalOutcome } from '../state/proposal-outcome.js';

const revision = () => number().required().integer().min(0);

export const isProposalOutcome = unionGuard<ProposalOutcome>({
  committed: object({ type: literalType('committed'), revision: revision() }),
  conflict: object({ type: literalType('conflict'), revision: revision() }),
  cancelled: object({ type: literalType('cancelled'), revision: revision() }),
  forgotten: object({ type: literalType('forgotten'), revision: revision() }),
});

export const isCommandOutcome = unionGuard<CommandOutcome>({
  done: object({ type: literalType('done') }),
  claimed: object({ type: literalType('claimed'), won: boolean().required(), holder: string().required() }),
  'claims-full': object({ type: literalType('claims-full') }),
  proposal: object({ type: literalType('proposal'), outcome: mixed(isProposalOutcome).required() }),
});
