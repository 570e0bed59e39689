import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { QuotaReserveEffect, TokenSource } from '../../quota/reserve/quota-reserve-effect.js';
import type { QuotaReserveEvent } from '../../quota/reserve/quota-reserve-event.js';
import { initialQuotaReserve } from '../../quota/reserve/quota-reserve-state.js';
import { stepQuotaReserve } from '../../quota/reserve/step-quota-reserve.js';
import type { Counters } from '../counters.js';
import type { SpreadTask } from '../spread-task.js';

/** Whether a request may use its tenant's quota. */
export type QuotaAnswer =
  | { readonly type: 'admitted'; readonly source: TokenSource }
  | {
      readonly type: 'rejected';
      readonly cause: 'over-quota' | 'quota-unavailable';
      readonly retryAfterUs: Micros;
    };

/** The task that owns a router's reserves of tokens. */
export type QuotaTask = {
  /** Spends tokens of a tenant for one request; answers within a fraction of a second. */
  readonly spend: (request: string, tenant: string, cost: number) => Promise<QuotaAnswer>;
  /** Gives back what was spent for a request that did not run. */
  readonly refund: (tenant: string, tokens: number) => void;
  /** Counts a further try of a request that may have run. */
  readonly charge: (tenant: string, tokens: number) => void;
  readonly close: () => void;
};

export type QuotaTaskParts = {
  readonly node: string;
  readonly spread: SpreadTask;
  readonly clock: Clock;
  readonly counters: Counters;
};

/** The core machines are looked up anew at most this often. */
const storesSpanUs: Micros = 200_000;

const isSame = (left: readonly string[], right: readonly string[]): boolean =>
  left.length === right.length && left.every((address, place) => address === right[place]);

/** Opens a router's reserves; nothing is asked before a request needs it. */
export const openQuotaTask = ({ node, spread, clock, counters }: QuotaTaskParts): QuotaTask => {
  let state = initialQuotaReserve(node);
  let storesDueUs = Number.NEGATIVE_INFINITY;
  let takeBackTick = (): void => undefined;
  let plannedUs = Number.POSITIVE_INFINITY;
  const pending = new Map<string, (answer: QuotaAnswer) => void>();

  const answer = (request: string, given: QuotaAnswer): void => {
    const resolve = pending.get(request);
    pending.delete(request);
    resolve?.(given);
  };

  const carryOut = (effect: QuotaReserveEffect): void => {
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

  const take = (event: QuotaReserveEvent): void => {
    const step = stepQuotaReserve(state, event);
    state = step.state;
    step.effects.forEach(carryOut);
    planTick();
  };

  const planTick = (): void => {
    if (state.wakeUs >= plannedUs) return;
    takeBackTick();
    plannedUs = state.wakeUs;
    takeBackTick = clock.after(Math.max(0, plannedUs - clock.now()), () => {
      plannedUs = Number.POSITIVE_INFINITY;
      take({ type: 'tick', at: clock.now() });
    });
  };

  const lookUpStores = (): void => {
    const nowUs = clock.now();
    if (nowUs < storesDueUs) return;
    storesDueUs = nowUs + storesSpanUs;
    const known = [...spread.view().partners.values()].map(({ partner }) => partner);
    const stores = known
      .filter(({ role }) => role === 'control')
      .map(({ address }) => address)
      .sort();
    if (!isSame(stores, state.stores)) take({ type: 'stores', at: nowUs, stores });
  };

  spread.events.on('quotaReply', (_from, { ask, reply }) => take({ type: 'reply', at: clock.now(), ask, reply }));

  return {
    spend: (request, tenant, cost) =>
      new Promise((resolve) => {
        lookUpStores();
        pending.set(request, resolve);
        take({ type: 'request', at: clock.now(), request, tenant, cost });
      }),
    refund: (tenant, tokens) => take({ type: 'refund', at: clock.now(), tenant, tokens }),
    charge: (tenant, tokens) => take({ type: 'charge', at: clock.now(), tenant, tokens }),
    close: () => takeBackTick(),
  };
};
