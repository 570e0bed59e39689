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
  const waiting = new Map<string, (answer: Answer) => void>();
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

  const pause = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, pauseMillis));

  /** Puts the question once; the answer may still come when another try has begun, and counts then too. */
  const askOnce = (address: string, question: Question, hear: (answer: Answer) => void): string => {
    const ask = randomUUID();
    waiting.set(ask, hear);
    spread.send(address, { type: 'ask', ask, question });
    return ask;
  };

  const within = <T>(promise: Promise<T>, budgetUs: Micros): Promise<T | undefined> => {
    let timer: NodeJS.Timeout | undefined;
    const passed = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), toMillis(budgetUs));
    });
    return Promise.race([promise, passed]).finally(() => clearTimeout(timer));
  };

  const isLast = (answer: Answer): boolean => answer.type === 'applied' || answer.type === 'record';

  return {
    ask: async (question, budgetUs) => {
      const dueUs = steadyNow() + budgetUs;
      const asks: string[] = [];
      let mayStand = false;
      let lastAnswer: Answer | undefined;
      try {
        while (steadyNow() < dueUs) {
          const address = targetAddress();
          if (address === undefined) {
            await pause();
            continue;
          }
          const answered = new Promise<Answer>((resolve) => {
            const hear = (answer: Answer): void => {
              if (isLast(answer)) lastAnswer ??= answer;
              resolve(answer);
            };
            asks.push(askOnce(address, question, hear));
          });
          const answer = await within(answered, Math.min(tryBudgetUs, Math.max(1_000, dueUs - steadyNow())));
          if (lastAnswer !== undefined) {
            if (answer === lastAnswer) leaderAddress = address;
            return Right(lastAnswer);
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
      } finally {
        for (const ask of asks) waiting.delete(ask);
      }
    },
  };
};
