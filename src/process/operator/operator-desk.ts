import { Right, type Either } from 'purify-ts';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Receipt } from '../../control/machine/receipt.js';
import type { Command } from '../../control/log/command.js';
import type { ProposalOutcome } from '../../control/state/proposal-outcome.js';
import { checkSetup } from '../../setup/check/check-setup.js';
import type { CoreClient } from '../core-client.js';
import type { OperatorWord } from './operator-word.js';

/** What operators may ask for, over HTTP or in the simulator. */
export type OperatorDesk = {
  readonly read: () => Promise<OperatorWord>;
  /** Puts a setup in place of the expected revision, or of the newest where none is given. */
  readonly put: (value: unknown, proposal: string, expected: number | undefined) => Promise<OperatorWord>;
  readonly ask: (proposal: string) => Promise<OperatorWord>;
  /** Decides a proposal that is not decided yet: it never will be taken. */
  readonly withdraw: (proposal: string) => Promise<OperatorWord>;
};

const readBudgetUs: Micros = 2_000_000;
const proposeBudgetUs: Micros = 4_000_000;

const recordOf = (receipt: Receipt): Extract<Receipt, { readonly type: 'record' }> | undefined =>
  receipt.type === 'record' ? receipt : undefined;

const outcomeOf = (receipt: Receipt): ProposalOutcome | undefined =>
  receipt.type === 'applied' && receipt.outcome.type === 'proposal' ? receipt.outcome.outcome : undefined;

export const openOperatorDesk = (core: CoreClient, platformUs: () => Micros): OperatorDesk => {
  const newestRevision = async (): Promise<Either<TypedError, number>> =>
    (await core.ask({ type: 'read' }, readBudgetUs)).map((receipt) => recordOf(receipt)?.record?.revision ?? 0);

  const propose = async (proposal: string, command: Command): Promise<Either<TypedError, OperatorWord>> =>
    (await core.ask({ type: 'propose', command }, proposeBudgetUs)).map((receipt) => {
      const outcome = outcomeOf(receipt);
      return outcome === undefined
        ? { type: 'unknown', proposal, error: typedError('undecided', 'the core gave no outcome') }
        : { type: 'decided', proposal, outcome };
    });

  return {
    read: async () =>
      (await core.ask({ type: 'read' }, readBudgetUs)).caseOf<OperatorWord>({
        Left: (error) => ({ type: 'refused', error }),
        Right: (receipt) => {
          const record = recordOf(receipt)?.record;
          return record === undefined ? { type: 'none' } : { type: 'record', record };
        },
      }),
    put: async (value, proposal, expected) => {
      const checkedSetup = checkSetup(value).mapLeft((faults) => typedError('invalid-setup', 'the setup does not hold', faults));
      if (checkedSetup.isLeft()) return { type: 'refused', error: checkedSetup.extract() };
      const newest = expected === undefined ? await newestRevision() : Right(expected);
      if (newest.isLeft()) return { type: 'refused', error: newest.extract() };
      const word = await propose(proposal, {
        type: 'setup',
        proposal,
        expected: newest.unsafeCoerce(),
        setup: checkedSetup.unsafeCoerce(),
        atUs: platformUs(),
      });
      return word.caseOf<OperatorWord>({
        Left: (error) => (error.type === 'undecided' ? { type: 'unknown', proposal, error } : { type: 'refused', error }),
        Right: (told) => told,
      });
    },
    ask: async (proposal) =>
      (await core.ask({ type: 'read', proposal }, readBudgetUs)).caseOf<OperatorWord>({
        Left: (error) => ({ type: 'unknown', proposal, error }),
        Right: (receipt) => {
          const outcome = recordOf(receipt)?.outcome;
          return outcome === undefined
            ? { type: 'unknown', proposal, error: typedError('unknown-proposal', 'not decided; withdraw it with DELETE to end the doubt') }
            : { type: 'decided', proposal, outcome };
        },
      }),
    withdraw: async (proposal) =>
      (await propose(proposal, { type: 'void', proposal })).caseOf<OperatorWord>({
        Left: (error) => ({ type: 'unknown', proposal, error }),
        Right: (told) => told,
      }),
  };
};
