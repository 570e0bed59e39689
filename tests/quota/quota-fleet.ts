import type { Micros } from '../../src/common/micros.js';
import type { Tenant } from '../../src/setup/document/tenant.js';
import type { QuotaTolerance } from '../../src/quota/quota-tolerance.js';
import type { QuotaReserveEvent } from '../../src/quota/reserve/quota-reserve-event.js';
import { startQuotaReserve, type QuotaReserveState } from '../../src/quota/reserve/quota-reserve-state.js';
import { stepQuotaReserve } from '../../src/quota/reserve/step-quota-reserve.js';
import { startQuotaStore, type QuotaStoreState } from '../../src/quota/store/quota-store-state.js';
import { stepQuotaStore } from '../../src/quota/store/step-quota-store.js';

/** What clients of one tenant send. */
export type TenantLoad = {
  readonly tenant: Tenant;
  readonly requestsPerSecond: number;
  readonly meanCost: number;
  /** From a moment on it sends so many times as much. */
  readonly flood?: { readonly fromUs: Micros; readonly untilUs: Micros; readonly times: number };
};

/** Something that goes wrong at a moment. */
export type QuotaFault =
  /** A store loses all that it knows and is back after a while. */
  | { readonly type: 'restart'; readonly atUs: Micros; readonly store: number; readonly downUs: Micros }
  /** A store answers nobody for a while, or says that it may not grant. */
  | {
      readonly type: 'silent' | 'unavailable';
      readonly atUs: Micros;
      readonly store: number;
      readonly forUs: Micros;
    }
  /** A part of the routers reach no store for a while. */
  | { readonly type: 'cut'; readonly atUs: Micros; readonly part: number; readonly forUs: Micros }
  /** A router hears nothing and does nothing for a while; what came meanwhile is taken afterwards. */
  | { readonly type: 'freeze'; readonly atUs: Micros; readonly router: number; readonly forUs: Micros }
  | { readonly type: 'limits'; readonly atUs: Micros; readonly tenants: readonly Tenant[] };

export type QuotaFleetPlan = {
  readonly seed: number;
  readonly routers: number;
  readonly stores: number;
  readonly tolerance: QuotaTolerance;
  readonly loads: readonly TenantLoad[];
  readonly faults: readonly QuotaFault[];
  readonly untilUs: Micros;
  /** Clients arrive from here on. */
  readonly fromUs: Micros;
};

/** A request that reached a server, and when. */
export type Arrival = { readonly tenant: string; readonly cost: number; readonly atUs: Micros };

/** A request that was refused. */
export type Rejection = { readonly tenant: string; readonly cost: number; readonly cause: string };

export type QuotaFleetHistory = {
  readonly arrivals: readonly Arrival[];
  readonly admitted: Readonly<Record<'local' | 'store' | 'credit', number>>;
  readonly rejected: readonly Rejection[];
  readonly asks: number;
  /** The longest time from a request to its answer. */
  readonly longestWaitUs: Micros;
};

type Happening = { readonly atUs: Micros; readonly order: number; readonly act: () => void };

/** A queue of happenings by time, then by the order in which they were planned. */
const openAgenda = () => {
  const heap: Happening[] = [];
  let planned = 0;
  const isBefore = (left: Happening, right: Happening): boolean =>
    left.atUs < right.atUs || (left.atUs === right.atUs && left.order < right.order);
  const swap = (one: number, other: number): void => {
    const [first, second] = [heap[one], heap[other]];
    if (first === undefined || second === undefined) return;
    heap[one] = second;
    heap[other] = first;
  };
  const isOut = (parent: number, child: number): boolean => {
    const [above, below] = [heap[parent], heap[child]];
    return above !== undefined && below !== undefined && isBefore(below, above);
  };
  return {
    plan: (atUs: Micros, act: () => void): void => {
      heap.push({ atUs, order: planned, act });
      planned += 1;
      for (let place = heap.length - 1; place > 0;) {
        const parent = (place - 1) >> 1;
        if (!isOut(parent, place)) break;
        swap(parent, place);
        place = parent;
      }
    },
    next: (): Happening | undefined => {
      const [first] = heap;
      const last = heap.pop();
      if (first === undefined || last === undefined || heap.length === 0) return first;
      heap[0] = last;
      for (let place = 0; ;) {
        const children = [2 * place + 1, 2 * place + 2].filter((child) => isOut(place, child));
        const [one, other] = children;
        if (one === undefined) break;
        const least = other !== undefined && isOut(one, other) ? other : one;
        swap(place, least);
        place = least;
      }
      return first;
    },
  };
};

const secondUs = 1_000_000;

/** Numbers from 0 to 1 that depend on the seed alone. */
export const drawsOf = (seed: number): (() => number) => {
  let state = (seed * 2654435761) % 4294967296 || 1;
  return () => {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    return (state >>> 0) / 4294967296;
  };
};

/** Plays routers and stores, each one the pure machine of the product, on a network that delays, loses and cuts. */
export const playQuotaFleet = (plan: QuotaFleetPlan): QuotaFleetHistory => {
  const draw = drawsOf(plan.seed);
  const agenda = openAgenda();
  const storeNames = Array.from({ length: plan.stores }, (_, place) => `store-${place}`);
  const stores: QuotaStoreState[] = storeNames.map(() => startQuotaStore(0));
  const lives = storeNames.map(() => 0);
  const silentUntil = storeNames.map(() => 0);
  const unavailableUntil = storeNames.map(() => 0);
  const routers: QuotaReserveState[] = Array.from({ length: plan.routers }, (_, place) =>
    startQuotaReserve(`router-${place}`),
  );
  const frozenUntil = routers.map(() => 0);
  const cutUntil = routers.map(() => 0);
  const costs = new Map<string, { readonly tenant: string; readonly cost: number; readonly sinceUs: Micros }>();
  const arrivals: Arrival[] = [];
  const admitted = { local: 0, store: 0, credit: 0 };
  const rejected: Rejection[] = [];
  let asks = 0;
  let longestWaitUs = 0;
  let nowUs = 0;
  let tenants: readonly Tenant[] = plan.loads.map(({ tenant }) => tenant);

  const configure = (place: number): void => {
    const state = stores[place];
    if (state === undefined) return;
    stores[place] = stepQuotaStore(state, {
      type: 'configured',
      at: nowUs,
      tenants,
      tolerance: plan.tolerance,
      shares: plan.stores,
    }).state;
  };

  const delayUs = (): Micros => {
    if (draw() < 0.01) return 30_000 + draw() * 150_000;
    return 500 + draw() * 4_000;
  };
  const isLost = (): boolean => draw() < 0.002;

  const answered = (request: string): Micros => {
    const made = costs.get(request);
    costs.delete(request);
    const waitUs = nowUs - (made?.sinceUs ?? nowUs);
    longestWaitUs = Math.max(longestWaitUs, waitUs);
    return waitUs;
  };

  const hear = (router: number, event: QuotaReserveEvent): void => {
    const frozenUs = frozenUntil[router] ?? 0;
    if (frozenUs > nowUs) {
      agenda.plan(frozenUs, () => hear(router, { ...event, at: nowUs }));
      return;
    }
    const state = routers[router];
    if (state === undefined) return;
    const step = stepQuotaReserve(state, event);
    routers[router] = step.state;
    for (const effect of step.effects) {
      if (effect.type === 'admit') {
        const made = costs.get(effect.request);
        answered(effect.request);
        admitted[effect.source] += 1;
        if (made !== undefined)
          agenda.plan(nowUs + (draw() < 0.1 ? draw() * 400_000 : 3_000), () =>
            arrivals.push({ tenant: made.tenant, cost: made.cost, atUs: nowUs }),
          );
      } else if (effect.type === 'reject') {
        const made = costs.get(effect.request);
        answered(effect.request);
        if (made !== undefined) rejected.push({ tenant: made.tenant, cost: made.cost, cause: effect.cause });
      } else {
        asks += 1;
        const place = storeNames.indexOf(effect.store);
        const isCut = (cutUntil[router] ?? 0) > nowUs;
        if (isCut || isLost()) continue;
        const life = lives[place];
        agenda.plan(nowUs + delayUs(), () => {
          const store = stores[place];
          if (store === undefined || lives[place] !== life || (silentUntil[place] ?? 0) > nowUs) return;
          const isUnavailable = (unavailableUntil[place] ?? 0) > nowUs;
          const told = isUnavailable
            ? undefined
            : stepQuotaStore(store, { type: 'request', at: nowUs, request: effect.request });
          if (told !== undefined) stores[place] = told.state;
          const reply = told?.reply ?? ({ type: 'unavailable' } as const);
          if (isLost()) return;
          agenda.plan(nowUs + delayUs(), () => {
            if ((cutUntil[router] ?? 0) <= nowUs) hear(router, { type: 'reply', at: nowUs, ask: effect.ask, reply });
          });
        });
      }
    }
    const wakeUs = routers[router]?.wakeUs ?? Number.POSITIVE_INFINITY;
    if (Number.isFinite(wakeUs))
      agenda.plan(Math.max(nowUs + 100, wakeUs), () => hear(router, { type: 'tick', at: nowUs }));
  };

  const strike = (fault: QuotaFault): void => {
    switch (fault.type) {
      case 'restart':
        lives[fault.store] = (lives[fault.store] ?? 0) + 1;
        silentUntil[fault.store] = nowUs + fault.downUs;
        agenda.plan(nowUs + fault.downUs, () => {
          stores[fault.store] = startQuotaStore(nowUs);
          configure(fault.store);
        });
        return;
      case 'silent':
        silentUntil[fault.store] = nowUs + fault.forUs;
        return;
      case 'unavailable':
        unavailableUntil[fault.store] = nowUs + fault.forUs;
        return;
      case 'cut':
        for (let router = 0; router < plan.routers * fault.part; router += 1) cutUntil[router] = nowUs + fault.forUs;
        return;
      case 'freeze':
        frozenUntil[fault.router] = nowUs + fault.forUs;
        return;
      case 'limits':
        tenants = fault.tenants;
        storeNames.forEach((_name, place) => agenda.plan(nowUs + draw() * 1_000_000, () => configure(place)));
    }
  };

  const send = (load: TenantLoad, count: number): void => {
    const { flood } = load;
    const times = flood !== undefined && nowUs >= flood.fromUs && nowUs < flood.untilUs ? flood.times : 1;
    const request = `${load.tenant.name}-${count}`;
    const cost = Math.max(1, Math.round(load.meanCost === 1 ? 1 : load.meanCost * -Math.log(1 - draw() * 0.999)));
    costs.set(request, { tenant: load.tenant.name, cost, sinceUs: nowUs });
    const router = Math.floor(draw() * plan.routers);
    hear(router, { type: 'request', at: nowUs, request, tenant: load.tenant.name, cost });
    const gapUs = (-Math.log(1 - draw()) * secondUs) / (load.requestsPerSecond * times);
    if (nowUs + gapUs < plan.untilUs) agenda.plan(nowUs + gapUs, () => send(load, count + 1));
  };

  storeNames.forEach((_name, place) => configure(place));
  routers.forEach((_state, router) => hear(router, { type: 'stores', at: 0, stores: storeNames }));
  for (const load of plan.loads) agenda.plan(plan.fromUs + draw() * 100_000, () => send(load, 0));
  for (const fault of plan.faults) agenda.plan(fault.atUs, () => strike(fault));
  for (let next = agenda.next(); next !== undefined; next = agenda.next()) {
    nowUs = Math.max(nowUs, next.atUs);
    next.act();
  }
  return { arrivals, admitted, rejected, asks, longestWaitUs };
};

/** By how much the use of some tenant exceeds what any window allows, at most; 0 or less where none does. */
export const worstExcess = (
  arrivals: readonly Arrival[],
  limitOf: (tenant: string) => number,
  windowUs: Micros,
): number => {
  const byTenant = new Map<string, Arrival[]>();
  for (const arrival of arrivals) byTenant.set(arrival.tenant, [...(byTenant.get(arrival.tenant) ?? []), arrival]);
  let worst = Number.NEGATIVE_INFINITY;
  for (const [tenant, unsorted] of byTenant) {
    const sorted = unsorted.sort((left, right) => left.atUs - right.atUs);
    let sum = 0;
    let first = 0;
    for (const arrival of sorted) {
      sum += arrival.cost;
      for (let oldest = sorted[first]; oldest !== undefined && oldest.atUs <= arrival.atUs - windowUs;) {
        sum -= oldest.cost;
        first += 1;
        oldest = sorted[first];
      }
      worst = Math.max(worst, sum - limitOf(tenant));
    }
  }
  return worst;
};
