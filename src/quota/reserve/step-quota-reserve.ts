import type { Micros } from '../../common/micros.js';
import { positionEnd, positionOf } from '../../decision/ring/position.js';
import { grantLifeUs } from '../bucket-share.js';
import type { QuotaReply } from '../quota-grant.js';
import { chooseStore, earliestRefillUs, leftTogether } from './choose-store.js';
import type { QuotaReserveEffect } from './quota-reserve-effect.js';
import type { QuotaReserveEvent } from './quota-reserve-event.js';
import {
  emptyReserve,
  type QuotaReserveState,
  type RunningAsk,
  type TenantReserve,
  type WaitingRequest,
} from './quota-reserve-state.js';
import { spendingRateOf, tokensOf, withGrant, withoutExpired, withSpending, withSpent } from './tenant-tokens.js';

/** A new state and what was decided. */
export type QuotaReserveStep = {
  readonly state: QuotaReserveState;
  readonly effects: readonly QuotaReserveEffect[];
};

type EventOf<T extends QuotaReserveEvent['type']> = Extract<QuotaReserveEvent, { readonly type: T }>;

/** A store that has not answered for so long is passed over for a while, and the next one is asked. */
const askTimeoutUs: Micros = 40_000;
const suspectUs: Micros = 1_000_000;
const unavailableUs: Micros = 300_000;
/** A request waits for tokens no longer than this. */
const longestWaitUs: Micros = 120_000;
/** For so long ahead a router asks for tokens at its own pace of spending. */
const lookAheadUs: Micros = 300_000;
/** While no store answers a tenant may go on at its pace for so long. */
const creditSpanUs: Micros = 1_500_000;
const unavailableRetryUs: Micros = 300_000;
const leastRetryUs: Micros = 20_000;
const mostBackoffUs: Micros = 400_000;
const secondUs = 1_000_000;

const still = (state: QuotaReserveState): QuotaReserveStep => ({ state, effects: [] });

const reserveOf = (state: QuotaReserveState, tenant: string, at: Micros): TenantReserve =>
  withoutExpired(state.reserves.get(tenant) ?? emptyReserve(at), at);

const withReserve = (state: QuotaReserveState, tenant: string, reserve: TenantReserve): QuotaReserveState => ({
  ...state,
  reserves: state.reserves.set(tenant, reserve),
});

/** Admits those that wait, in order, as far as the tokens at hand go. */
const served = (
  reserve: TenantReserve,
  at: Micros,
): { readonly reserve: TenantReserve; readonly effects: readonly QuotaReserveEffect[] } => {
  const effects: QuotaReserveEffect[] = [];
  let left = reserve;
  for (let [first] = left.waiting; first !== undefined && tokensOf(left) >= first.cost; [first] = left.waiting) {
    effects.push({ type: 'admit', request: first.request, source: 'store' });
    left = { ...withSpent(left, first.cost, at), waiting: left.waiting.slice(1) };
  }
  return { reserve: left, effects };
};

/** Whether a request may go on credit: by lot, so that small parts of a request's cost count over many routers. */
const mayTakeCredit = (
  state: QuotaReserveState,
  reserve: TenantReserve,
  { request, cost }: WaitingRequest,
  at: Micros,
): boolean => {
  if (state.answeredUs === 0 || at - state.answeredUs > creditSpanUs) return false;
  const allowed = (spendingRateOf(reserve, state.answeredUs) * creditSpanUs) / secondUs;
  const lot = positionOf(`${state.node} ${request}`) / positionEnd;
  return reserve.credit + lot * cost <= allowed;
};

const noRound = { ask: undefined, asked: [], isExhausted: false, isCollecting: false } as const;

/** The round is over: those that still wait go on credit where no store answered, and are rejected otherwise. */
const endRound = (state: QuotaReserveState, tenant: string, reserve: TenantReserve, at: Micros): QuotaReserveStep => {
  const effects: QuotaReserveEffect[] = [];
  let left: TenantReserve = { ...reserve, ...noRound, waiting: [] };
  for (const waiting of reserve.waiting) {
    const refillUs = earliestRefillUs(reserve, waiting.cost, at);
    if (reserve.isExhausted || refillUs !== undefined) {
      const retryAfterUs = Math.max(leastRetryUs, (refillUs ?? at + unavailableRetryUs) - at);
      effects.push({ type: 'reject', request: waiting.request, cause: 'over-quota', retryAfterUs });
    } else if (mayTakeCredit(state, left, waiting, at)) {
      effects.push({ type: 'admit', request: waiting.request, source: 'credit' });
      left = { ...left, credit: left.credit + waiting.cost };
    } else
      effects.push({
        type: 'reject',
        request: waiting.request,
        cause: 'quota-unavailable',
        retryAfterUs: unavailableRetryUs,
      });
  }
  return { state: withReserve(state, tenant, left), effects };
};

/** Asks the next store for what the first waiting request lacks; without one, or without time, the round ends. */
const askNext = (state: QuotaReserveState, tenant: string, reserve: TenantReserve, at: Micros): QuotaReserveStep => {
  const [first] = reserve.waiting;
  if (first === undefined) return still(withReserve(state, tenant, { ...reserve, ...noRound }));
  const needed = first.cost + reserve.debt - Math.max(0, tokensOf(reserve));
  const store = at < first.dueUs ? chooseStore(state, tenant, reserve, needed, at) : undefined;
  if (store === undefined) {
    const mayCollect = !reserve.isCollecting && at < first.dueUs && leftTogether(reserve, at) >= needed;
    return mayCollect
      ? askNext(state, tenant, { ...reserve, asked: [], isCollecting: true }, at)
      : endRound(state, tenant, reserve, at);
  }
  const behind = reserve.waiting.slice(1).reduce((sum, { cost }) => sum + cost, 0);
  const ahead = (spendingRateOf(reserve, at) * lookAheadUs) / secondUs;
  const ask: RunningAsk = { tenant, store, needed, askedUs: at, dueUs: Math.min(at + askTimeoutUs, first.dueUs) };
  const asking = withReserve(state, tenant, {
    ...reserve,
    ask: state.nextAsk,
    asked: [...reserve.asked, store],
  });
  return {
    state: {
      ...asking,
      asks: asking.asks.set(state.nextAsk, ask),
      nextAsk: state.nextAsk + 1,
      wakeUs: Math.min(asking.wakeUs, ask.dueUs),
    },
    effects: [
      {
        type: 'ask',
        ask: state.nextAsk,
        store,
        request: {
          tenant,
          needed: Math.ceil(needed),
          wanted: Math.ceil(needed + behind + ahead),
          takesPart: reserve.isCollecting,
        },
      },
    ],
  };
};

const onRequest = (state: QuotaReserveState, { at, request, tenant, cost }: EventOf<'request'>): QuotaReserveStep => {
  const reserve = reserveOf(state, tenant, at);
  if (reserve.waiting.length === 0 && tokensOf(reserve) >= cost)
    return {
      state: withReserve(state, tenant, withSpent(reserve, cost, at)),
      effects: [{ type: 'admit', request, source: 'local' }],
    };
  const waiting = [...reserve.waiting, { request, cost, dueUs: at + longestWaitUs }];
  const waitingReserve = { ...reserve, waiting };
  return reserve.ask === undefined
    ? askNext(state, tenant, waitingReserve, at)
    : still(withReserve(state, tenant, waitingReserve));
};

const withDry = (
  reserve: TenantReserve,
  { store, needed }: RunningAsk,
  { retryAfterUs, left }: Extract<QuotaReply, { readonly type: 'exhausted' }>,
  at: Micros,
): TenantReserve => {
  const refusals = (reserve.dry.get(store)?.refusals ?? 0) + 1;
  const waitUs = Math.min(mostBackoffUs, retryAfterUs * 2 ** Math.min(refusals - 1, 3));
  return { ...reserve, dry: new Map([...reserve.dry, [store, { needed, untilUs: at + waitUs, refusals, left }]]) };
};

const withoutDry = (reserve: TenantReserve, store: string): TenantReserve => ({
  ...reserve,
  preferred: store,
  dry: new Map([...reserve.dry].filter(([dryStore]) => dryStore !== store)),
});

const withSuspect = (state: QuotaReserveState, store: string, untilUs: Micros): QuotaReserveState => ({
  ...state,
  suspects: new Map([...state.suspects, [store, untilUs]]),
});

/** What an answer says of its store, for this tenant and for all of them. */
const withAnswer = (
  state: QuotaReserveState,
  reserve: TenantReserve,
  ask: RunningAsk,
  { reply, at }: EventOf<'reply'>,
): { readonly state: QuotaReserveState; readonly reserve: TenantReserve } => {
  if (reply.type === 'unavailable') return { state: withSuspect(state, ask.store, at + unavailableUs), reserve };
  const heard: QuotaReserveState = {
    ...state,
    answeredUs: at,
    suspects: new Map([...state.suspects].filter(([store]) => store !== ask.store)),
  };
  const granted = withGrant({ ...reserve, credit: 0 }, { tokens: reply.tokens, expiresUs: ask.askedUs + grantLifeUs });
  return {
    state: heard,
    reserve: reply.type === 'granted' ? withoutDry(granted, ask.store) : withDry(granted, ask, reply, at),
  };
};

/** Takes what a store said, also where it comes too late for the request that asked: the tokens are there all the same. */
const onReply = (state: QuotaReserveState, event: EventOf<'reply'>): QuotaReserveStep => {
  const ask = state.asks.get(event.ask);
  if (ask === undefined) return still(state);
  const isCurrent = state.reserves.get(ask.tenant)?.ask === event.ask;
  const forgotten = { ...state, asks: state.asks.delete(event.ask) };
  const answered = withAnswer(forgotten, reserveOf(state, ask.tenant, event.at), ask, event);
  const serving = served(withoutExpired(answered.reserve, event.at), event.at);
  if (!isCurrent) return { state: withReserve(answered.state, ask.tenant, serving.reserve), effects: serving.effects };
  const isExhausted = serving.reserve.isExhausted || event.reply.type === 'exhausted';
  const next = askNext(
    answered.state,
    ask.tenant,
    { ...serving.reserve, ...(event.reply.type === 'granted' ? noRound : { ask: undefined, isExhausted }) },
    event.at,
  );
  return { state: next.state, effects: [...serving.effects, ...next.effects] };
};

/** So long an ask that was not answered in time is remembered, for the tokens that may still come. */
const lateReplyUs: Micros = grantLifeUs;

const onOverdueAsk = (state: QuotaReserveState, id: number, ask: RunningAsk, at: Micros): QuotaReserveStep => {
  const reserve = reserveOf(state, ask.tenant, at);
  if (reserve.ask !== id)
    return still(at >= ask.askedUs + lateReplyUs ? { ...state, asks: state.asks.delete(id) } : state);
  const suspecting = withSuspect(state, ask.store, at + suspectUs);
  const late: RunningAsk = { ...ask, dueUs: ask.askedUs + lateReplyUs };
  return askNext(
    { ...suspecting, asks: suspecting.asks.set(id, late) },
    ask.tenant,
    { ...reserve, ask: undefined },
    at,
  );
};

const onTick = (state: QuotaReserveState, at: Micros): QuotaReserveStep => {
  if (at < state.wakeUs) return still(state);
  const effects: QuotaReserveEffect[] = [];
  let reached = state;
  for (const [id, ask] of state.asks) {
    if (at < ask.dueUs) continue;
    const step = onOverdueAsk(reached, id, ask, at);
    reached = step.state;
    effects.push(...step.effects);
  }
  const wakeUs = reached.asks.reduce((least, { dueUs }) => Math.min(least, dueUs), Number.POSITIVE_INFINITY);
  return { state: { ...reached, wakeUs }, effects };
};

const onAbandoned = (state: QuotaReserveState, { request, tenant, at }: EventOf<'abandoned'>): QuotaReserveState => {
  const reserve = reserveOf(state, tenant, at);
  const waiting = reserve.waiting.filter((other) => other.request !== request);
  return withReserve(state, tenant, { ...reserve, waiting });
};

const onEvent = (state: QuotaReserveState, event: QuotaReserveEvent): QuotaReserveStep => {
  switch (event.type) {
    case 'stores':
      return still({ ...state, stores: [...event.stores].sort() });
    case 'request':
      return onRequest(state, event);
    case 'abandoned':
      return still(onAbandoned(state, event));
    case 'reply':
      return onReply(state, event);
    case 'refund': {
      const reserve = reserveOf(state, event.tenant, event.at);
      const grant = { tokens: event.tokens, expiresUs: event.at + grantLifeUs };
      return still(withReserve(state, event.tenant, withGrant(reserve, grant)));
    }
    case 'charge': {
      const reserve = reserveOf(state, event.tenant, event.at);
      const charged = withSpending({ ...reserve, debt: reserve.debt + event.tokens }, event.tokens, event.at);
      return still(withReserve(state, event.tenant, withoutExpired(charged, event.at)));
    }
    case 'tick':
      return still(state);
  }
};

/**
 * The quota side of a router: requests spend tokens at hand without a call; where these run out, stores are asked for
 * more, one after another. Every request is admitted or rejected within `longestWaitUs`.
 */
export const stepQuotaReserve = (state: QuotaReserveState, event: QuotaReserveEvent): QuotaReserveStep => {
  const due = onTick(state, event.at);
  const step = onEvent(due.state, event);
  return { state: step.state, effects: [...due.effects, ...step.effects] };
};
