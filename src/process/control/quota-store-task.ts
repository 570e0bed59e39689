import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import { isVoter } from '../../control/machine/log-queries.js';
import type { Replica } from '../../control/machine/replica.js';
import type { QuotaReply, QuotaRequest } from '../../quota/quota-messages.js';
import { defaultTolerance, type QuotaTolerance } from '../../quota/quota-tolerance.js';
import { initialQuotaStore } from '../../quota/store/quota-store-state.js';
import type { QuotaStoreEvent } from '../../quota/store/quota-store-event.js';
import { stepQuotaStore } from '../../quota/store/step-quota-store.js';
import { refillBucket } from '../../quota/token-bucket.js';
import type { Counters } from '../counters.js';
import type { SpreadTask } from '../spread-task.js';

/** What is left of one tenant's bucket at this machine. */
export type QuotaLevel = {
  readonly tenant: string;
  readonly level: number;
  readonly capacity: number;
  readonly ratePerSecond: number;
};

/** The task that owns a core machine's share of the quota store. */
export type QuotaStoreTask = {
  readonly levels: () => readonly QuotaLevel[];
};

export type QuotaStoreTaskParts = {
  readonly spread: SpreadTask;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly replica: () => Replica;
  readonly tolerance?: QuotaTolerance;
};

/**
 * A voter grants while it has heard from its leader within this lease. It is shorter than the silence after which a voter
 * at another address may be replaced, so that a machine that was replaced grants nothing beside its successor.
 */
export const grantLeaseUs: Micros = 1_500_000;

/** Whether a machine may grant: the leader, or a voter within its lease. */
export const mayGrant = (replica: Replica, nowUs: Micros): boolean =>
  isVoter(replica, replica.identity) &&
  (replica.role === 'leader' || nowUs - replica.leaderContactUs < grantLeaseUs) &&
  !replica.isLeaving;

/** Answers routers from this machine's share of every bucket; nothing of it is written to disk. */
export const openQuotaStoreTask = ({
  spread,
  clock,
  counters,
  replica,
  tolerance = defaultTolerance,
}: QuotaStoreTaskParts): QuotaStoreTask => {
  let state = initialQuotaStore(clock.now());

  const take = (event: QuotaStoreEvent): QuotaReply | undefined => {
    const step = stepQuotaStore(state, event);
    state = step.state;
    return step.reply;
  };

  const replyTo = (request: QuotaRequest): QuotaReply => {
    const nowUs = clock.now();
    if (!mayGrant(replica(), nowUs)) return { type: 'unavailable' };
    return take({ type: 'request', at: nowUs, request }) ?? { type: 'unavailable' };
  };

  spread.events.on('setup', ({ setup }) => {
    const shares = replica().targetVoterCount;
    take({ type: 'configured', at: clock.now(), tenants: setup.tenants ?? [], tolerance, shares });
  });
  spread.events.on('quotaRequest', (from, { ask, request }) => {
    const reply = replyTo(request);
    counters.count(`quota.${reply.type}`);
    spread.send(from, { type: 'quota-reply', ask, reply });
  });

  return {
    levels: () =>
      [...state.buckets].map(([tenant, { bucket, limits }]) => ({
        tenant,
        level: Math.floor(refillBucket(bucket, limits, clock.now()).level),
        capacity: Math.floor(limits.capacity),
        ratePerSecond: limits.ratePerSecond,
      })),
  };
};
