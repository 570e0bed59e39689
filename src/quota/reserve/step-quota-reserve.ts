import type { Micros } from '../../common/micros.js';
import { positionEnd, positionOf } from '../../decision/ring/position.js';
import { grantTtlUs } from '../bucket-share.js';
import type { QuotaReply } from '../quota-messages.js';
import { chooseStore, earliestRetryAtUs, totalRemaining } from './choose-store.js';
import type { QuotaReserveEffect } from './quota-reserve-effect.js';
import type { QuotaReserveEvent } from './quota-reserve-event.js';
import {
  emptyReserve,
  type QuotaReserveState,
  type PendingQuotaRequest,
  type TenantReserve,
  type WaitingRequest,
} from './quota-reserve-state.js';
import {
  spendingRateOf,
  spendableTokens,
  addGrant,
  settleGrants,
  recordSpending,
  spendTokens,
} from './tenant-tokens.js';

export type QuotaReserveStep = {
  readonly state: QuotaReserveState;
  readonly effects: readonly QuotaReserveEffect[];
};

type EventOf<T extends QuotaReserveEvent['type']> = Extract<QuotaReserveEvent, { readonly type: T }>;

/** A store that does not reply within this time is marked suspect, and the next store is tried. */
const replyTimeoutUs: Micros = 40_000;
/** How long a suspect store is skipped. */
const suspectUs: Micros = 1_000_000;
/** How long a store is skipped after it replied `unavailable`. */
const unavailableUs: Micros = 300_000;
/** A request that has waited this long is rejected or admitted on credit. */
const maxWaitUs: Micros = 120_000;
/** A quota request also asks for what the router spends in this time at its average rate. */
const lookAheadUs: Micros = 300_000;
/** How long after the last reply of a store a tenant may spend on credit, at its average rate. */
const creditWindowUs: Micros = 1_500_000;
const unavailableRetryAfterUs: Micros = 300_000;
const minRetryAfterUs: Micros = 20_000;
const maxBackoffUs: Micros = 400_000;
const secondUs = 1_000_000;

const withoutEffects = (state: QuotaReserveState): QuotaReserveStep => ({ state, effects: [] });

const reserveOf = (state: QuotaReserveState, tenant: string, at: Micros): TenantReserve =>
  settleGrants(state.reserves.get(tenant) ?? emptyReserve(at), at);

const withReserve = (state: QuotaReserveState, tenant: string, reserve: TenantReserve): QuotaReserveState => ({
  ...state,
  reserves: state.reserves.set(tenant, reserve),
});

/** Admits waiting requests, first in first out, while the tokens suffice. */
const admitWaiting = (
  reserve: TenantReserve,
  at: Micros,
): { readonly reserve: TenantReserve; readonly effects: readonly QuotaReserveEffect[] } => {
  const effects: QuotaReserveEffect[] = [];
  let current = reserve;
  for (
    let [first] = current.waiting;
    first !== undefined && spendableTokens(current) >= first.cost;
    [first] = current.waiting
  ) {
    effects.push({ type: 'admit', request: first.request, source: 'store' });
    current = { ...spendTokens(current, first.cost, at), waiting: current.waiting.slice(1) };
  }
  return { reserve: current, effects };
};

/**
 * Whether a request may be admitted on credit. A credit below the cost of one request admits it with proportional
 * probability (drawn from a hash), so that many routers together spend what they are allowed.
 */
const canUseCredit = (
  state: QuotaReserveState,
  reserve: TenantReserve,
  { request, cost }: WaitingRequest,
  at: Micros,
): boolean => {
  if (state.lastReplyUs === 0 || at - state.lastReplyUs > creditWindowUs) return false;
  const allowed = (spendingRateOf(reserve, state.lastReplyUs) * creditWindowUs) / secondUs;
  const hashFraction = positionOf(`${state.node} ${request}`) / positionEnd;
  return reserve.credit + hashFraction * cost <= allowed;
};

const idleRound = { ask: undefined, asked: [], isExhausted: false, isCollecting: false } as const;

/** Ends the round: waiting requests are rejected if a store is exhausted, else admitted on credit while that lasts. */
const endRound = (state: QuotaReserveState, tenant: string, reserve: TenantReserve, at: Micros): QuotaReserveStep => {
  const effects: QuotaReserveEffect[] = [];
  let current: TenantReserve = { ...reserve, ...idleRound, waiting: [] };
  for (const waiting of reserve.waiting) {
    const retryAtUs = earliestRetryAtUs(reserve, waiting.cost, at);
    if (reserve.isExhausted || retryAtUs !== undefined) {
      const retryAfterUs = Math.max(minRetryAfterUs, (retryAtUs ?? at + unavailableRetryAfterUs) - at);
      effects.push({ type: 'reject', request: waiting.request, cause: 'over-quota', retryAfterUs });
    } else if (canUseCredit(state, current, waiting, at)) {
      effects.push({ type: 'admit', request: waiting.request, source: 'credit' });
      current = { ...current, credit: current.credit + waiting.cost };
    } else
      effects.push({
        type: 'reject',
        request: waiting.request,
        cause: 'quota-unavailable',
        retryAfterUs: unavailableRetryAfterUs,
      });
  }
  return { state: withReserve(state, tenant, current), effects };
};

/** Sends a quota request for what the first waiting request lacks to the next store. Ends the round if no store or time is left. */
const requestFromNextStore = (
  state: QuotaReserveState,
  tenant: string,
  reserve: TenantReserve,
  at: Micros,
): QuotaReserveStep => {
  const [first] = reserve.waiting;
  if (first === undefined) return withoutEffects(withReserve(state, tenant, { ...reserve, ...idleRound }));
  const needed = first.cost + reserve.debt - Math.max(0, spendableTokens(reserve));
  const store = at < first.dueUs ? chooseStore(state, tenant, reserve, needed, at) : undefined;
  if (store === undefined) {
    const canCollect = !reserve.isCollecting && at < first.dueUs && totalRemaining(reserve, at) >= needed;
    return canCollect
      ? requestFromNextStore(state, tenant, { ...reserve, asked: [], isCollecting: true }, at)
      : endRound(state, tenant, reserve, at);
  }
  const waitingCost = reserve.waiting.slice(1).reduce((sum, { cost }) => sum + cost, 0);
  const expectedSpend = (spendingRateOf(reserve, at) * lookAheadUs) / secondUs;
  const ask: PendingQuotaRequest = {
    tenant,
    store,
    needed,
    askedUs: at,
    dueUs: Math.min(at + replyTimeoutUs, first.dueUs),
  };
  const pendingState = withReserve(state, tenant, {
    ...reserve,
    ask: state.nextAsk,
    asked: [...reserve.asked, store],
  });
  return {
    state: {
      ...pendingState,
      asks: pendingState.asks.set(state.nextAsk, ask),
      nextAsk: state.nextAsk + 1,
      wakeUs: Math.min(pendingState.wakeUs, ask.dueUs),
    },
    effects: [
      {
        type: 'ask',
        ask: state.nextAsk,
        store,
        request: {
          tenant,
          needed: Math.ceil(needed),
          wanted: Math.ceil(needed + waitingCost + expectedSpend),
          takesPart: reserve.isCollecting,
        },
      },
    ],
  };
};

const onRequest = (state: QuotaReserveState, { at, request, tenant, cost }: EventOf<'request'>): QuotaReserveStep => {
  const reserve = reserveOf(state, tenant, at);
  if (reserve.waiting.length === 0 && spendableTokens(reserve) >= cost)
    return {
      state: withReserve(state, tenant, spendTokens(reserve, cost, at)),
      effects: [{ type: 'admit', request, source: 'local' }],
    };
  const waiting = [...reserve.waiting, { request, cost, dueUs: at + maxWaitUs }];
  const waitingReserve = { ...reserve, waiting };
  return reserve.ask === undefined
    ? requestFromNextStore(state, tenant, waitingReserve, at)
    : withoutEffects(withReserve(state, tenant, waitingReserve));
};

const withExhaustedStore = (
  reserve: TenantReserve,
  { store, needed }: PendingQuotaRequest,
  { retryAfterUs, left }: Extract<QuotaReply, { readonly type: 'exhausted' }>,
  at: Micros,
): TenantReserve => {
  const refusals = (reserve.exhaustedStores.get(store)?.refusals ?? 0) + 1;
  const waitUs = Math.min(maxBackoffUs, retryAfterUs * 2 ** Math.min(refusals - 1, 3));
  return {
    ...reserve,
    exhaustedStores: new Map([...reserve.exhaustedStores, [store, { needed, untilUs: at + waitUs, refusals, left }]]),
  };
};

const withGrantingStore = (reserve: TenantReserve, store: string): TenantReserve => ({
  ...reserve,
  preferredStore: store,
  exhaustedStores: new Map([...reserve.exhaustedStores].filter(([exhaustedStore]) => exhaustedStore !== store)),
});

const withSuspect = (state: QuotaReserveState, store: string, untilUs: Micros): QuotaReserveState => ({
  ...state,
  suspects: new Map([...state.suspects, [store, untilUs]]),
});

/** Applies a reply to the health of its store and to the tenant's grants. */
const applyReply = (
  state: QuotaReserveState,
  reserve: TenantReserve,
  ask: PendingQuotaRequest,
  { reply, at }: EventOf<'reply'>,
): { readonly state: QuotaReserveState; readonly reserve: TenantReserve } => {
  if (reply.type === 'unavailable') return { state: withSuspect(state, ask.store, at + unavailableUs), reserve };
  const repliedState: QuotaReserveState = {
    ...state,
    lastReplyUs: at,
    suspects: new Map([...state.suspects].filter(([store]) => store !== ask.store)),
  };
  const granted = addGrant({ ...reserve, credit: 0 }, { tokens: reply.tokens, expiresUs: ask.askedUs + grantTtlUs });
  return {
    state: repliedState,
    reserve:
      reply.type === 'granted' ? withGrantingStore(granted, ask.store) : withExhaustedStore(granted, ask, reply, at),
  };
};

/** Handles a store's reply. The tokens of a late reply are used too: the store has already deducted them. */
const onReply = (state: QuotaReserveState, event: EventOf<'reply'>): QuotaReserveStep => {
  const ask = state.asks.get(event.ask);
  if (ask === undefined) return withoutEffects(state);
  const isCurrent = state.reserves.get(ask.tenant)?.ask === event.ask;
  const settledState = { ...state, asks: state.asks.delete(event.ask) };
  const applied = applyReply(settledState, reserveOf(state, ask.tenant, event.at), ask, event);
  const admission = admitWaiting(settleGrants(applied.reserve, event.at), event.at);
  if (!isCurrent)
    return { state: withReserve(applied.state, ask.tenant, admission.reserve), effects: admission.effects };
  const isExhausted = admission.reserve.isExhausted || event.reply.type === 'exhausted';
  const next = requestFromNextStore(
    applied.state,
    ask.tenant,
    { ...admission.reserve, ...(event.reply.type === 'granted' ? idleRound : { ask: undefined, isExhausted }) },
    event.at,
  );
  return { state: next.state, effects: [...admission.effects, ...next.effects] };
};

/** How long a timed-out quota request is kept for a late reply; its tokens would have expired by then. */
const lateReplyWindowUs: Micros = grantTtlUs;

const onReplyTimeout = (
  state: QuotaReserveState,
  id: number,
  ask: PendingQuotaRequest,
  at: Micros,
): QuotaReserveStep => {
  const reserve = reserveOf(state, ask.tenant, at);
  if (reserve.ask !== id)
    return withoutEffects(at >= ask.askedUs + lateReplyWindowUs ? { ...state, asks: state.asks.delete(id) } : state);
  const suspectState = withSuspect(state, ask.store, at + suspectUs);
  const timedOut: PendingQuotaRequest = { ...ask, dueUs: ask.askedUs + lateReplyWindowUs };
  return requestFromNextStore(
    { ...suspectState, asks: suspectState.asks.set(id, timedOut) },
    ask.tenant,
    { ...reserve, ask: undefined },
    at,
  );
};

const onTick = (state: QuotaReserveState, at: Micros): QuotaReserveStep => {
  if (at < state.wakeUs) return withoutEffects(state);
  const effects: QuotaReserveEffect[] = [];
  let nextState = state;
  for (const [id, ask] of state.asks) {
    if (at < ask.dueUs) continue;
    const step = onReplyTimeout(nextState, id, ask, at);
    nextState = step.state;
    effects.push(...step.effects);
  }
  const wakeUs = nextState.asks.reduce((least, { dueUs }) => Math.min(least, dueUs), Number.POSITIVE_INFINITY);
  return { state: { ...nextState, wakeUs }, effects };
};

const onAbandoned = (state: QuotaReserveState, { request, tenant, at }: EventOf<'abandoned'>): QuotaReserveState => {
  const reserve = reserveOf(state, tenant, at);
  const waiting = reserve.waiting.filter((other) => other.request !== request);
  return withReserve(state, tenant, { ...reserve, waiting });
};

const onEvent = (state: QuotaReserveState, event: QuotaReserveEvent): QuotaReserveStep => {
  switch (event.type) {
    case 'stores':
      return withoutEffects({ ...state, stores: [...event.stores].sort() });
    case 'request':
      return onRequest(state, event);
    case 'abandoned':
      return withoutEffects(onAbandoned(state, event));
    case 'reply':
      return onReply(state, event);
    case 'refund': {
      const reserve = reserveOf(state, event.tenant, event.at);
      const grant = { tokens: event.tokens, expiresUs: event.at + grantTtlUs };
      return withoutEffects(withReserve(state, event.tenant, addGrant(reserve, grant)));
    }
    case 'charge': {
      const reserve = reserveOf(state, event.tenant, event.at);
      const charged = recordSpending({ ...reserve, debt: reserve.debt + event.tokens }, event.tokens, event.at);
      return withoutEffects(withReserve(state, event.tenant, settleGrants(charged, event.at)));
    }
    case 'tick':
      return withoutEffects(state);
  }
};

/**
 * State machine of a router's quota reserve. Requests spend tokens at hand without a network call; when these run out, the
 * router requests more from one store after another. Every request is admitted or rejected within `maxWaitUs`.
 */
export const stepQuotaReserve = (state: QuotaReserveState, event: QuotaReserveEvent): QuotaReserveStep => {
  const due = onTick(state, event.at);
  const step = onEvent(due.state, event);
  return { state: step.state, effects: [...due.effects, ...step.effects] };
};
