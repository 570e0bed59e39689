import { Left, Right, type Either } from 'purify-ts';
import { paused } from '../common/clock/paused.js';
import { within } from '../common/clock/within.js';
import type { Micros } from '../common/micros.js';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { Answer } from '../control/machine/answer.js';
import type { Question } from '../spread/frame/frame.js';
import type { SpreadTask } from './spread-task.js';
import type { Surroundings } from './surroundings/surroundings.js';

/** Asks the core, wherever its leader is. Every question may be put twice: the log knows it again. */
export type CoreClient = {
  readonly ask: (question: Question, budgetUs: Micros) => Promise<Either<TypedError, Answer>>;
};

const tryBudgetUs: Micros = 600_000;
const pauseUs: Micros = 40_000;

const isLast = (answer: Answer): boolean => answer.type === 'applied' || answer.type === 'record';

export const openCoreClient = (spread: SpreadTask, { clock, freshName }: Pick<Surroundings, 'clock' | 'freshName'>): CoreClient => {
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

  return {
    ask: async (question, budgetUs) => {
      const dueUs = clock.now() + budgetUs;
      const asks: string[] = [];
      let mayStand = false;
      let hearLast: (answer: Answer) => void = () => undefined;
      /** A last word counts whichever try it answers, and however late within the budget. */
      const lastWord = new Promise<Answer>((resolve) => {
        hearLast = resolve;
      });
      const askAt = (address: string): Promise<Answer> =>
        new Promise((resolve) => {
          const ask = freshName();
          asks.push(ask);
          waiting.set(ask, (answer) => {
            if (isLast(answer)) {
              leaderAddress = address;
              hearLast(answer);
            } else resolve(answer);
          });
          spread.send(address, { type: 'ask', ask, question });
        });
      try {
        for (let leftUs = budgetUs; leftUs > 0; leftUs = dueUs - clock.now()) {
          const address = targetAddress();
          const answer =
            address === undefined ? undefined : await within(clock, Promise.race([lastWord, askAt(address)]), Math.min(tryBudgetUs, leftUs));
          if (answer !== undefined && isLast(answer)) return Right(answer);
          if (address !== undefined && answer?.type !== 'not-leader') mayStand = true;
          leaderAddress = answer?.type === 'not-leader' && answer.leader !== address ? answer.leader : undefined;
          if (leaderAddress !== undefined) continue;
          const lateAnswer = await Promise.race([lastWord, paused(clock, pauseUs)]);
          if (lateAnswer !== undefined) return Right(lateAnswer);
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
