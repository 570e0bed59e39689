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

/** A setup, the operator's document that it was converted from, and the version of that document to be replaced. */
export type OriginalPut = {
  readonly setup: unknown;
  readonly original: Original;
  readonly expectedVersion: number;
};

/** The calls of operators, over HTTP or in the simulator. */
export type OperatorService = {
  readonly read: () => Promise<OperatorReply>;
  /** Replaces the expected revision, or the newest one if undefined, by a setup. Optimistic concurrency: a race has one winner. */
  readonly put: (value: unknown, proposal: string, expected: number | undefined) => Promise<OperatorReply>;
  /** As `put`, for a setup converted from an operator's document; the expected version of that document is compared instead. */
  readonly putOriginal: (put: OriginalPut) => Promise<OperatorReply>;
  /** Reads the outcome of a proposal. */
  readonly ask: (proposal: string) => Promise<OperatorReply>;
  /** Cancels a proposal unless it is decided already: afterwards it can never be committed. */
  readonly withdraw: (proposal: string) => Promise<OperatorReply>;
};

/** The calls that use revisions of the setup, not versions of an operator's document. */
export type RevisionService = Omit<OperatorService, 'putOriginal'>;

const recordOf = (reply: CoreReply): Extract<CoreReply, { readonly type: 'record' }> | undefined =>
  reply.type === 'record' ? reply : undefined;

const outcomeOf = (reply: CoreReply): ProposalOutcome | undefined =>
  reply.type === 'applied' && reply.outcome.type === 'proposal' ? reply.outcome.outcome : undefined;

const validSetupOf = (value: unknown): Either<TypedError, Setup> =>
  checkSetup(value).mapLeft((faults) => typedError('invalid-setup', 'the setup does not hold', faults));

const unknown = (proposal: string, error: TypedError): OperatorReply => ({ type: 'unknown', proposal, error });

const refused = (error: TypedError): OperatorReply => ({ type: 'refused', error });

/** The reply for a committed outcome. */
const replyOfOutcome = (proposal: string, outcome: ProposalOutcome): OperatorReply =>
  outcome.type === 'forgotten'
    ? unknown(
        proposal,
        typedError('undecided', 'the proposal may have been committed so long ago that its outcome was forgotten'),
      )
    : { type: 'decided', proposal, outcome };

/** Opens the operator service on a client of the core; `platformUs` is the time that a proposal is stamped with. */
export const openOperatorService = (core: CoreClient, platformUs: () => Micros): OperatorService => {
  const newestRevision = async (): Promise<Either<TypedError, number>> =>
    (await core.ask({ type: 'read' }, callBudgetUs)).map((reply) => recordOf(reply)?.record?.revision ?? 0);

  /** While the proposal may still be committed, its reply is `unknown`. */
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
      const checkedSetup = validSetupOf(value);
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
      validSetupOf(setup).caseOf<Promise<OperatorReply>>({
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
            ? unknown(
                proposal,
                typedError(
                  'unknown-proposal',
                  'no outcome is known; withdraw the proposal with DELETE to have it decided',
                ),
              )
            : replyOfOutcome(proposal, outcome);
        },
      }),
    withdraw: async (proposal) => {
      const reply = await propose(proposal, { type: 'void', proposal }, callBudgetUs);
      return reply.type === 'refused' ? unknown(proposal, reply.error) : reply;
    },
  };
};
