import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { QuotaReserveEffect, TokenSource } from '../../quota/reserve/quota-reserve-effect.js';
import type { QuotaReserveEvent } from '../../quota/reserve/quota-reserve-event.js';
import { initialQuotaReserve } from '../../quota/reserve/quota-reserve-state.js';
import { stepQuotaReserve } from '../../quota/reserve/step-quota-reserve.js';
import type { Counters } from '../counters.js';
import type { GossipTask } from '../gossip-task.js';

/** The decision on a request under its tenant's quota. */
export type QuotaDecision =
  | { readonly type: 'admitted'; readonly source: TokenSource }
  | {
      readonly type: 'rejected';
      readonly cause: 'over-quota' | 'quota-unavailable';
      readonly retryAfterUs: Micros;
    };

/** Runs the quota reserve of a router: tokens that the control nodes granted in advance, per tenant. */
export type QuotaTask = {
  /** Spends tokens of a tenant for one request; resolves within a fraction of a second. */
  readonly spend: (request: string, tenant: string, cost: number) => Promise<QuotaDecision>;
  /** Refunds what was spent for a request that did not run. */
  readonly refund: (tenant: string, tokens: number) => void;
  /** Charges a further attempt of a request that may have run. */
  readonly charge: (tenant: string, tokens: number) => void;
  readonly close: () => void;
};

export type QuotaTaskDependencies = {
  readonly node: string;
  readonly spread: GossipTask;
  readonly clock: Clock;
  readonly counters: Counters;
};

/** The minimum interval between lookups of the control nodes. */
const storeLookupIntervalUs: Micros = 200_000;

const areEqual = (left: readonly string[], right: readonly string[]): boolean =>
  left.length === right.length && left.every((address, index) => address === right[index]);

/** Opens a router's reserve; it sends nothing until the first request under a quota. */
export const openQuotaTask = ({ node, spread, clock, counters }: QuotaTaskDependencies): QuotaTask => {
  let state = initialQuotaReserve(node);
  let storeLookupDueUs = Number.NEGATIVE_INFINITY;
  let cancelTick = (): void => undefined;
  let tickDueUs = Number.POSITIVE_INFINITY;
  const pending = new Map<string, (answer: QuotaDecision) => void>();

  const answer = (request: string, decision: QuotaDecision): void => {
    const resolve = pending.get(request);
    pending.delete(request);
    resolve?.(decision);
  };

  const execute = (effect: QuotaReserveEffect): void => {
    switch (effect.type) {
      case 'admit':
        counters.count(`quota.admitted.${effect.source}`);
        answer(effect.request, { type: 'admitted', source: effect.source });
        return;
      case 'reject':
        counters.count(`quota.rejected.${effect.cause}`);
        answer(effect.request, { type: 'rejected', cause: effect.cause, retryAfterUs: effect.retryAfterUs });
        return;
      case 'ask':
        counters.count('quota.asks');
        spread.send(effect.store, { type: 'quota-request', ask: effect.ask, request: effect.request });
    }
  };

  const dispatch = (event: QuotaReserveEvent): void => {
    const step = stepQuotaReserve(state, event);
    state = step.state;
    step.effects.forEach(execute);
    scheduleTick();
  };

  const scheduleTick = (): void => {
    if (state.wakeUs >= tickDueUs) return;
    cancelTick();
    tickDueUs = state.wakeUs;
    cancelTick = clock.after(Math.max(0, tickDueUs - clock.now()), () => {
      tickDueUs = Number.POSITIVE_INFINITY;
      dispatch({ type: 'tick', at: clock.now() });
    });
  };

  const updateStores = (): void => {
    const nowUs = clock.now();
    if (nowUs < storeLookupDueUs) return;
    storeLookupDueUs = nowUs + storeLookupIntervalUs;
    const peers = [...spread.view().partners.values()].map(({ partner }) => partner);
    const stores = peers
      .filter(({ role }) => role === 'control')
      .map(({ address }) => address)
      .sort();
    if (!areEqual(stores, state.stores)) dispatch({ type: 'stores', at: nowUs, stores });
  };

  spread.events.on('quotaReply', (_from, { ask, reply }) => dispatch({ type: 'reply', at: clock.now(), ask, reply }));

  return {
    spend: (request, tenant, cost) =>
      new Promise((resolve) => {
        updateStores();
        pending.set(request, resolve);
        dispatch({ type: 'request', at: clock.now(), request, tenant, cost });
      }),
    refund: (tenant, tokens) => dispatch({ type: 'refund', at: clock.now(), tenant, tokens }),
    charge: (tenant, tokens) => dispatch({ type: 'charge', at: clock.now(), tenant, tokens }),
    close: () => cancelTick(),
  };
};
