import { Left, Right, type Either } from 'purify-ts';
import { paused } from '../common/clock/paused.js';
import { within } from '../common/clock/within.js';
import type { Micros } from '../common/micros.js';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { Receipt } from '../control/machine/receipt.js';
import type { Question } from '../spread/frame/frame.js';
import type { SpreadTask } from './spread-task.js';
import type { Surroundings } from './surroundings/surroundings.js';

/** Asks the core, wherever its leader is. Every question may be put twice: the log knows it again. */
export type CoreClient = {
  readonly ask: (question: Question, budgetUs: Micros) => Promise<Either<TypedError, Receipt>>;
};

const tryBudgetUs: Micros = 600_000;
const pauseUs: Micros = 40_000;

const isLast = (receipt: Receipt): boolean => receipt.type === 'applied' || receipt.type === 'record';

export const openCoreClient = (
  spread: SpreadTask,
  { clock, freshName }: Pick<Surroundings, 'clock' | 'freshName'>,
): CoreClient => {
  const waiting = new Map<string, (receipt: Receipt) => void>();
  let leaderAddress: string | undefined;
  let turn = 0;
  spread.events.on('receipt', ({ ask, receipt }) => waiting.get(ask)?.(receipt));

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
      let hearLast: (receipt: Receipt) => void = () => undefined;
      /** A last word counts whichever try it answers, and however late within the budget. */
      const lastWord = new Promise<Receipt>((resolve) => {
        hearLast = resolve;
      });
      const askAt = (address: string): Promise<Receipt> =>
        new Promise((resolve) => {
          const ask = freshName();
          asks.push(ask);
          waiting.set(ask, (receipt) => {
            if (isLast(receipt)) {
              leaderAddress = address;
              hearLast(receipt);
            } else resolve(receipt);
          });
          spread.send(address, { type: 'ask', ask, question });
        });
      try {
        for (let leftUs = budgetUs; leftUs > 0; leftUs = dueUs - clock.now()) {
          const address = targetAddress();
          const receipt =
            address === undefined
              ? undefined
              : await within(clock, Promise.race([lastWord, askAt(address)]), Math.min(tryBudgetUs, leftUs));
          if (receipt !== undefined && isLast(receipt)) return Right(receipt);
          if (address !== undefined && receipt?.type !== 'not-leader') mayStand = true;
          leaderAddress = receipt?.type === 'not-leader' && receipt.leader !== address ? receipt.leader : undefined;
          if (leaderAddress !== undefined) continue;
          const lateReceipt = await Promise.race([lastWord, paused(clock, pauseUs)]);
          if (lateReceipt !== undefined) return Right(lateReceipt);
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
