import { Right, type Either } from 'purify-ts';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { CoreReply } from '../../control/machine/core-reply.js';
import type { Command } from '../../control/log/command.js';
import { proposalOfDocument } from '../../control/state/document-history.js';
import type { ProposalOutcome } from '../../control/state/proposal-outcome.js';
import { checkSetup } from '../../setup/check/check-setup.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Original } from '../../setup/document/original.js';
import type { CoreClient } from '../core-client.js';
import { callBudgetUs, proposeBudgetOf } from './call-budgets.js';
import type { OperatorReply } from './operator-reply.js';

/** A setup with the operator's own document that it was made of, and the version of it that is to be replaced. */
export type OriginalPut = {
  readonly setup: unknown;
  readonly original: Original;
  readonly expectedVersion: number;
};

/** What operators may ask for, over HTTP or in the simulator. */
export type OperatorService = {
  readonly read: () => Promise<OperatorReply>;
  /** Puts a setup in place of the expected revision, or of the newest where none is given. */
  readonly put: (value: unknown, proposal: string, expected: number | undefined) => Promise<OperatorReply>;
  /** Puts a setup made of an operator's own document; the document's version decides the race. */
  readonly putOriginal: (put: OriginalPut) => Promise<OperatorReply>;
  readonly ask: (proposal: string) => Promise<OperatorReply>;
  /** Cancels a proposal that is not decided yet: it can never be committed afterwards. */
  readonly withdraw: (proposal: string) => Promise<OperatorReply>;
};

/** What operators may ask for without a document of their own. */
export type RevisionService = Omit<OperatorService, 'putOriginal'>;

const recordOf = (reply: CoreReply): Extract<CoreReply, { readonly type: 'record' }> | undefined =>
  reply.type === 'record' ? reply : undefined;

const outcomeOf = (reply: CoreReply): ProposalOutcome | undefined =>
  reply.type === 'applied' && reply.outcome.type === 'proposal' ? reply.outcome.outcome : undefined;

const checkedFor = (value: unknown): Either<TypedError, Setup> =>
  checkSetup(value).mapLeft((faults) => typedError('invalid-setup', 'the setup does not hold', faults));

const unknown = (proposal: string, error: TypedError): OperatorReply => ({ type: 'unknown', proposal, error });

const refused = (error: TypedError): OperatorReply => ({ type: 'refused', error });

/** The reply on an outcome that a majority committed. */
const replyOfOutcome = (proposal: string, outcome: ProposalOutcome): OperatorReply =>
  outcome.type === 'forgotten'
    ? unknown(proposal, typedError('undecided', 'it may have been committed too long ago to be remembered'))
    : { type: 'decided', proposal, outcome };

/** Opens the operator's service on a client of the core. */
export const openOperatorService = (core: CoreClient, platformUs: () => Micros): OperatorService => {
  const newestRevision = async (): Promise<Either<TypedError, number>> =>
    (await core.ask({ type: 'read' }, callBudgetUs)).map((reply) => recordOf(reply)?.record?.revision ?? 0);

  /** A proposal that may stand in a log gets no definite reply. */
  const propose = async (proposal: string, command: Command, budgetUs: Micros): Promise<OperatorReply> =>
    (await core.ask({ type: 'propose', command }, budgetUs)).caseOf<OperatorReply>({
      Left: (error) => (error.type === 'undecided' ? unknown(proposal, error) : refused(error)),
      Right: (reply) => {
        const outcome = outcomeOf(reply);
        return outcome === undefined
          ? unknown(proposal, typedError('undecided', 'the core gave no outcome'))
          : replyOfOutcome(proposal, outcome);
      },
    });

  return {
    read: async () =>
      (await core.ask({ type: 'read' }, callBudgetUs)).caseOf<OperatorReply>({
        Left: refused,
        Right: (reply) => {
          const record = recordOf(reply)?.record;
          return record === undefined ? { type: 'none' } : { type: 'record', record };
        },
      }),
    put: async (value, proposal, expected) => {
      const checkedSetup = checkedFor(value);
      if (checkedSetup.isLeft()) return refused(checkedSetup.extract());
      const newest = expected === undefined ? await newestRevision() : Right(expected);
      if (newest.isLeft()) return refused(newest.extract());
      const setup = checkedSetup.unsafeCoerce();
      const command: Command = {
        type: 'setup',
        proposal,
        expected: newest.unsafeCoerce(),
        setup,
        atUs: platformUs(),
      };
      return propose(proposal, command, callBudgetUs);
    },
    putOriginal: async ({ setup, original, expectedVersion }) =>
      checkedFor(setup).caseOf<Promise<OperatorReply>>({
        Left: (error) => Promise.resolve(refused(error)),
        Right: (validSetup) => {
          const proposal = proposalOfDocument(original);
          const command: Command = {
            type: 'setup',
            proposal,
            expected: expectedVersion,
            setup: validSetup,
            original,
            atUs: platformUs(),
          };
          return propose(proposal, command, proposeBudgetOf(original.text.length));
        },
      }),
    ask: async (proposal) =>
      (await core.ask({ type: 'read', proposal }, callBudgetUs)).caseOf<OperatorReply>({
        Left: (error) => unknown(proposal, error),
        Right: (reply) => {
          const outcome = recordOf(reply)?.outcome;
          return outcome === undefined
            ? unknown(proposal, typedError('unknown-proposal', 'not decided; withdraw it with DELETE to end the doubt'))
            : replyOfOutcome(proposal, outcome);
        },
      }),
    withdraw: async (proposal) => {
      const reply = await propose(proposal, { type: 'void', proposal }, callBudgetUs);
      return reply.type === 'refused' ? unknown(proposal, reply.error) : reply;
    },
  };
};
