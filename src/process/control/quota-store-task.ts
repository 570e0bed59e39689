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
import type { GossipTask } from '../gossip-task.js';

/** The level of one tenant's token bucket on this node. */
export type QuotaLevel = {
  readonly tenant: string;
  readonly level: number;
  readonly capacity: number;
  readonly ratePerSecond: number;
};

/** Owns a control node's share of the quota buckets. */
export type QuotaStoreTask = {
  readonly levels: () => readonly QuotaLevel[];
};

export type QuotaStoreTaskDependencies = {
  readonly spread: GossipTask;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly replica: () => Replica;
  readonly tolerance?: QuotaTolerance;
};

/**
 * A voter may grant while its last contact with the leader is within this lease. The lease is shorter than the silence
 * after which a voter may be replaced by a node at another address, so that a replaced node never grants beside its
 * successor.
 */
export const grantLeaseUs: Micros = 1_500_000;

/** Whether a node may grant quota: it is the leader or a voter within its lease, and is not leaving the core. */
export const canGrant = (replica: Replica, nowUs: Micros): boolean =>
  isVoter(replica, replica.identity) &&
  (replica.role === 'leader' || nowUs - replica.leaderContactUs < grantLeaseUs) &&
  !replica.isLeaving;

/** Answers the quota requests of routers from this node's share of each bucket. The buckets are held in memory only. */
export const openQuotaStoreTask = ({
  spread,
  clock,
  counters,
  replica,
  tolerance = defaultTolerance,
}: QuotaStoreTaskDependencies): QuotaStoreTask => {
  let state = initialQuotaStore(clock.now());

  const handle = (event: QuotaStoreEvent): QuotaReply | undefined => {
    const step = stepQuotaStore(state, event);
    state = step.state;
    return step.reply;
  };

  const replyTo = (request: QuotaRequest): QuotaReply => {
    const nowUs = clock.now();
    if (!canGrant(replica(), nowUs)) return { type: 'unavailable' };
    return handle({ type: 'request', at: nowUs, request }) ?? { type: 'unavailable' };
  };

  spread.events.on('setup', ({ setup }) => {
    const shares = replica().targetVoterCount;
    handle({ type: 'configured', at: clock.now(), tenants: setup.tenants ?? [], tolerance, shares });
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
