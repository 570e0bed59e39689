import { Left, Right, type Either } from 'purify-ts';
import { delay } from '../common/clock/delay.js';
import { raceTimeout } from '../common/clock/race-timeout.js';
import type { Micros } from '../common/micros.js';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { CoreReply } from '../control/machine/core-reply.js';
import type { CoreRequest } from '../spread/frame/frame.js';
import type { GossipTask } from './gossip-task.js';
import type { Surroundings } from './surroundings/surroundings.js';

/** Sends requests to the leader of the core. A request may be sent more than once: the log recognises duplicates. */
export type CoreClient = {
  /**
   * Retries until a final reply or the end of the budget. Then the error is `undecided` if a proposal may still be committed, else
   * `unreachable`. A proposal that the core has no room for fails at once with `state-full`, unless an earlier attempt may
   * still be committed.
   */
  readonly ask: (request: CoreRequest, budgetUs: Micros) => Promise<Either<TypedError, CoreReply>>;
};

/** The time-out of an attempt at one control node. It is shorter for a short budget, so that it allows two attempts at least. */
const attemptTimeoutUs: Micros = 600_000;
const shortBudgetUs: Micros = 800_000;
const shortTimeoutUs: Micros = 350_000;

type PendingRequest = {
  readonly address: string;
  readonly onReply: (reply: CoreReply) => void;
};

/** The pause between two attempts, unless the reply named the leader. */
const pauseUs: Micros = 40_000;

const attemptTimeoutOf = (budgetUs: Micros): Micros => (budgetUs > shortBudgetUs ? attemptTimeoutUs : shortTimeoutUs);

const isFinal = (reply: CoreReply): boolean => reply.type === 'applied' || reply.type === 'record';

export const openCoreClient = (
  spread: GossipTask,
  { clock, freshName }: Pick<Surroundings, 'clock' | 'freshName'>,
): CoreClient => {
  /** By request ID. A reply is accepted only from the address that its request was sent to. */
  const pending = new Map<string, PendingRequest>();
  let leaderAddress: string | undefined;
  let candidateIndex = 0;
  spread.events.on('reply', (from, { requestId, reply }) => {
    const request = pending.get(requestId);
    if (request?.address === from) request.onReply(reply);
  });

  const targetAddress = (): string | undefined => {
    if (leaderAddress !== undefined) return leaderAddress;
    const coreAddresses = [...spread.view().partners.values()]
      .map(({ partner }) => partner)
      .filter((peer) => peer.role === 'control')
      .map((peer) => peer.address);
    const candidates = coreAddresses.length > 0 ? coreAddresses : spread.view().seeds;
    candidateIndex += 1;
    return candidates[candidateIndex % candidates.length];
  };

  return {
    ask: async (request, budgetUs) => {
      const deadlineUs = clock.now() + budgetUs;
      const timeoutUs = attemptTimeoutOf(budgetUs);
      const requestIds: string[] = [];
      /** Whether a control node may have appended the request to its log. */
      let mayBeCommitted = false;
      let resolveFinalReply: (reply: CoreReply) => void = () => undefined;
      /** A final reply to any attempt counts, also after the time-out of that attempt. */
      const finalReply = new Promise<CoreReply>((resolve) => {
        resolveFinalReply = resolve;
      });
      const requestAt = (address: string): Promise<CoreReply> =>
        new Promise((resolve) => {
          const requestId = freshName();
          requestIds.push(requestId);
          const handleReply = (reply: CoreReply): void => {
            pending.delete(requestId);
            if (isFinal(reply)) {
              leaderAddress = address;
              resolveFinalReply(reply);
            } else resolve(reply);
          };
          pending.set(requestId, { address, onReply: handleReply });
          spread.send(address, { type: 'request', requestId, request });
        });
      try {
        for (let leftUs = budgetUs; leftUs > 0; leftUs = deadlineUs - clock.now()) {
          const address = targetAddress();
          const reply =
            address === undefined
              ? undefined
              : await raceTimeout(clock, Promise.race([finalReply, requestAt(address)]), Math.min(timeoutUs, leftUs));
          if (reply !== undefined && isFinal(reply)) return Right(reply);
          if (reply?.type === 'state-full' && !mayBeCommitted)
            return Left(typedError('state-full', 'the replicated state of the core has no room for the proposal'));
          if (address !== undefined && reply?.type !== 'not-leader') mayBeCommitted = true;
          leaderAddress = reply?.type === 'not-leader' && reply.leader !== address ? reply.leader : undefined;
          if (leaderAddress !== undefined) continue;
          const lateReply = await Promise.race([finalReply, delay(clock, pauseUs)]);
          if (lateReply !== undefined) return Right(lateReply);
        }
        return Left(
          mayBeCommitted && request.type === 'propose'
            ? typedError(
                'undecided',
                'the core gave no final reply within the budget; the proposal may still be committed',
              )
            : typedError('unreachable', 'no leader of the core replied within the budget'),
        );
      } finally {
        for (const requestId of requestIds) pending.delete(requestId);
      }
    },
  };
};
