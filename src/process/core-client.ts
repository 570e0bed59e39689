import { randomUUID } from 'node:crypto';
import { Either, Left, Right } from 'purify-ts';
import { steadyNow, toMillis, type Micros } from '../common/micros.js';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { Answer } from '../control/machine/answer.js';
import type { Question } from '../spread/frame/frame.js';
import type { SpreadTask } from './spread-task.js';

/** Asks the core, wherever its leader is. Every question may be put twice: the log knows it again. */
export type CoreClient = {
  readonly ask: (question: Question, budgetUs: Micros) => Promise<Either<TypedError, Answer>>;
};

const tryBudgetUs: Micros = 600_000;
const pauseMillis = 40;

export const openCoreClient = (spread: SpreadTask): CoreClient => {
  const waiting = new Map<string, (answer: Answer | undefined) => void>();
  let leaderAddress: string | undefined;
  let turn = 0;
  spread.events.on('answer', ({ ask, answer }) => waiting.get(ask)?.(answer));

  const targetAddress = (): string | undefined => {
    if (leaderAddress !== undefined) return leaderAddress;
    const coreAddresses = [...spread.view().partners.values()]
      .map(({ partner }) => partner)
      .filter((partner) => partner.role === 'control')
      .map((partner) => partner.address);
    const candidates = coreAddresses.length > 0 ? coreAddresses : spread.view().seeds;
    turn += 1;
    return candidates[turn % candidates.length];
  };

  const askOnce = (address: string, question: Question, budgetUs: Micros): Promise<Answer | undefined> =>
    new Promise((resolve) => {
      const ask = randomUUID();
      const settle = (answer: Answer | undefined): void => {
        clearTimeout(budgetTimer);
        waiting.delete(ask);
        resolve(answer);
      };
      const budgetTimer = setTimeout(() => settle(undefined), toMillis(budgetUs));
      waiting.set(ask, settle);
      spread.send(address, { type: 'ask', ask, question });
    });

  const pause = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, pauseMillis));

  return {
    ask: async (question, budgetUs) => {
      const dueUs = steadyNow() + budgetUs;
      let mayStand = false;
      while (steadyNow() < dueUs) {
        const address = targetAddress();
        const answer =
          address === undefined ? undefined : await askOnce(address, question, Math.min(tryBudgetUs, Math.max(1_000, dueUs - steadyNow())));
        if (answer?.type === 'applied' || answer?.type === 'record') {
          leaderAddress = address;
          return Right(answer);
        }
        if (answer?.type !== 'not-leader') mayStand = true;
        leaderAddress = answer?.type === 'not-leader' && answer.leader !== address ? answer.leader : undefined;
        if (leaderAddress === undefined) await pause();
      }
      return Left(
        mayStand && question.type === 'propose'
          ? typedError('undecided', 'the core gave no last word in time; the proposal may yet be taken')
          : typedError('unreachable', 'no leader of the core was reached in time'),
      );
    },
  };
};
