import { Left, Right, type Either } from 'purify-ts';
import { delay } from '../common/clock/delay.js';
import { raceTimeout } from '../common/clock/race-timeout.js';
import type { Micros } from '../common/micros.js';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { CoreReply } from '../control/machine/core-reply.js';
import type { CoreRequest } from '../spread/frame/frame.js';
import type { GossipTask } from './gossip-task.js';
import type { Surroundings } from './surroundings/surroundings.js';

/** Asks the core, wherever its leader is. Every request may be put twice: the log knows it again. */
export type CoreClient = {
  readonly ask: (request: CoreRequest, budgetUs: Micros) => Promise<Either<TypedError, CoreReply>>;
};

/** How long one machine is waited for before the next one is tried; calls of short budgets try two at least. */
const tryUs: Micros = 600_000;
const shortBudgetUs: Micros = 800_000;
const shortTryUs: Micros = 350_000;

type PendingRequest = {
  readonly address: string;
  readonly onReply: (reply: CoreReply) => void;
};

const pauseUs: Micros = 40_000;

const tryBudgetOf = (budgetUs: Micros): Micros => (budgetUs > shortBudgetUs ? tryUs : shortTryUs);

const isLast = (reply: CoreReply): boolean => reply.type === 'applied' || reply.type === 'record';

export const openCoreClient = (
  spread: GossipTask,
  { clock, freshName }: Pick<Surroundings, 'clock' | 'freshName'>,
): CoreClient => {
  /** The replies that are waited for, by request id; each one only from the address that was asked. */
  const pending = new Map<string, PendingRequest>();
  let leaderAddress: string | undefined;
  let turn = 0;
  spread.events.on('reply', (from, { requestId, reply }) => {
    const request = pending.get(requestId);
    if (request?.address === from) request.onReply(reply);
  });

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
    ask: async (request, budgetUs) => {
      const dueUs = clock.now() + budgetUs;
      const tryBudgetUs = tryBudgetOf(budgetUs);
      const requestIds: string[] = [];
      let mayStand = false;
      let hearLast: (reply: CoreReply) => void = () => undefined;
      /** A last word counts whichever try it answers, and however late within the budget. */
      const lastWord = new Promise<CoreReply>((resolve) => {
        hearLast = resolve;
      });
      const askAt = (address: string): Promise<CoreReply> =>
        new Promise((resolve) => {
          const requestId = freshName();
          requestIds.push(requestId);
          const handleReply = (reply: CoreReply): void => {
            pending.delete(requestId);
            if (isLast(reply)) {
              leaderAddress = address;
              hearLast(reply);
            } else resolve(reply);
          };
          pending.set(requestId, { address, onReply: handleReply });
          spread.send(address, { type: 'request', requestId, request });
        });
      try {
        for (let leftUs = budgetUs; leftUs > 0; leftUs = dueUs - clock.now()) {
          const address = targetAddress();
          const reply =
            address === undefined
              ? undefined
              : await raceTimeout(clock, Promise.race([lastWord, askAt(address)]), Math.min(tryBudgetUs, leftUs));
          if (reply !== undefined && isLast(reply)) return Right(reply);
          if (reply?.type === 'state-full' && !mayStand)
            return Left(typedError('state-full', 'the state of the core has no room for what was proposed'));
          if (address !== undefined && reply?.type !== 'not-leader') mayStand = true;
          leaderAddress = reply?.type === 'not-leader' && reply.leader !== address ? reply.leader : undefined;
          if (leaderAddress !== undefined) continue;
          const lateReply = await Promise.race([lastWord, delay(clock, pauseUs)]);
          if (lateReply !== undefined) return Right(lateReply);
        }
        return Left(
          mayStand && request.type === 'propose'
            ? typedError('undecided', 'the core gave no last word in time; the proposal may yet be taken')
            : typedError('unreachable', 'no leader of the core was reached in time'),
        );
      } finally {
        for (const requestId of requestIds) pending.delete(requestId);
      }
    },
  };
};
