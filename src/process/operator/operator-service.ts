import { createHash } from 'node:crypto';
import { Right, type Either } from 'purify-ts';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { CoreReply } from '../../control/machine/core-reply.js';
import type { Command } from '../../control/log/command.js';
import type { ProposalOutcome } from '../../control/state/proposal-outcome.js';
import { checkSetup } from '../../setup/check/check-setup.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Original } from '../../setup/document/original.js';
import type { CoreClient } from '../core-client.js';
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
  /** Decides a proposal that is not decided yet: it never will be taken. */
  readonly withdraw: (proposal: string) => Promise<OperatorReply>;
};

/** What operators may ask for without a document of their own. */
export type RevisionService = Omit<OperatorService, 'putOriginal'>;

const readBudgetUs: Micros = 2_000_000;
const proposeBudgetUs: Micros = 4_000_000;

const recordOf = (receipt: CoreReply): Extract<CoreReply, { readonly type: 'record' }> | undefined =>
  receipt.type === 'record' ? receipt : undefined;

const outcomeOf = (receipt: CoreReply): ProposalOutcome | undefined =>
  receipt.type === 'applied' && receipt.outcome.type === 'proposal' ? receipt.outcome.outcome : undefined;

const checkedFor = (value: unknown): Either<TypedError, Setup> =>
  checkSetup(value).mapLeft((faults) => typedError('invalid-setup', 'the setup does not hold', faults));

/** The same for the very same document, whoever puts it and wherever. */
const proposalOf = ({ version, text }: Original): string =>
  `original-${version}-${createHash('sha256').update(text).digest('hex').slice(0, 32)}`;

const wordOf = (proposal: string, word: Either<TypedError, OperatorReply>): OperatorReply =>
  word.caseOf<OperatorReply>({
    Left: (error) => (error.type === 'undecided' ? { type: 'unknown', proposal, error } : { type: 'refused', error }),
    Right: (told) => told,
  });

export const openOperatorService = (core: CoreClient, platformUs: () => Micros): OperatorService => {
  const newestRevision = async (): Promise<Either<TypedError, number>> =>
    (await core.ask({ type: 'read' }, readBudgetUs)).map((receipt) => recordOf(receipt)?.record?.revision ?? 0);

  const propose = async (proposal: string, command: Command): Promise<Either<TypedError, OperatorReply>> =>
    (await core.ask({ type: 'propose', command }, proposeBudgetUs)).map((receipt) => {
      const outcome = outcomeOf(receipt);
      return outcome === undefined
        ? { type: 'unknown', proposal, error: typedError('undecided', 'the core gave no outcome') }
        : { type: 'decided', proposal, outcome };
    });

  return {
    read: async () =>
      (await core.ask({ type: 'read' }, readBudgetUs)).caseOf<OperatorReply>({
        Left: (error) => ({ type: 'refused', error }),
        Right: (receipt) => {
          const record = recordOf(receipt)?.record;
          return record === undefined ? { type: 'none' } : { type: 'record', record };
        },
      }),
    put: async (value, proposal, expected) => {
      const checkedSetup = checkedFor(value);
      if (checkedSetup.isLeft()) return { type: 'refused', error: checkedSetup.extract() };
      const newest = expected === undefined ? await newestRevision() : Right(expected);
      if (newest.isLeft()) return { type: 'refused', error: newest.extract() };
      const setup = checkedSetup.unsafeCoerce();
      return wordOf(
        proposal,
        await propose(proposal, {
          type: 'setup',
          proposal,
          expected: newest.unsafeCoerce(),
          setup,
          atUs: platformUs(),
        }),
      );
    },
    putOriginal: async ({ setup, original, expectedVersion }) =>
      checkedFor(setup).caseOf<Promise<OperatorReply>>({
        Left: (error) => Promise.resolve({ type: 'refused', error }),
        Right: async (made) => {
          const proposal = proposalOf(original);
          const command: Command = {
            type: 'setup',
            proposal,
            expected: expectedVersion,
            setup: made,
            original,
            atUs: platformUs(),
          };
          return wordOf(proposal, await propose(proposal, command));
        },
      }),
    ask: async (proposal) =>
      (await core.ask({ type: 'read', proposal }, readBudgetUs)).caseOf<OperatorReply>({
        Left: (error) => ({ type: 'unknown', proposal, error }),
        Right: (receipt) => {
          const outcome = recordOf(receipt)?.outcome;
          return outcome === undefined
            ? {
                type: 'unknown',
                proposal,
                error: typedError('unknown-proposal', 'not decided; withdraw it with DELETE to end the doubt'),
              }
            : { type: 'decided', proposal, outcome };
        },
      }),
    withdraw: async (proposal) =>
      (await propose(proposal, { type: 'void', proposal })).caseOf<OperatorReply>({
        Left: (error) => ({ type: 'unknown', proposal, error }),
        Right: (told) => told,
      }),
  };
};
