import type { Micros } from '../../src/common/micros.js';
import type { Tenant } from '../../src/setup/document/tenant.js';
import type { QuotaTolerance } from '../../src/quota/quota-tolerance.js';
import type { QuotaReserveEvent } from '../../src/quota/reserve/quota-reserve-event.js';
import { initialQuotaReserve, type QuotaReserveState } from '../../src/quota/reserve/quota-reserve-state.js';
import { stepQuotaReserve } from '../../src/quota/reserve/step-quota-reserve.js';
import { initialQuotaStore, type QuotaStoreState } from '../../src/quota/store/quota-store-state.js';
import { stepQuotaStore } from '../../src/quota/store/step-quota-store.js';

/** Traffic of one tenant's clients: Poisson arrivals with exponentially distributed costs (fixed if `meanCost` is 1). */
export type TenantLoad = {
  readonly tenant: Tenant;
  readonly requestsPerSecond: number;
  readonly meanCost: number;
  /** An interval in which the request rate is multiplied by `times`. */
  readonly flood?: { readonly fromUs: Micros; readonly untilUs: Micros; readonly times: number };
};

/** A fault, or a change of limits, injected at `atUs`. */
export type QuotaFault =
  /** A store is down for `downUs` and restarts without its state. */
  | { readonly type: 'restart'; readonly atUs: Micros; readonly store: number; readonly downUs: Micros }
  /** A store does not reply, or replies `unavailable`, for `forUs`. */
  | {
      readonly type: 'silent' | 'unavailable';
      readonly atUs: Micros;
      readonly store: number;
      readonly forUs: Micros;
    }
  /** A fraction of the routers reaches no store for `forUs`. */
  | { readonly type: 'cut'; readonly atUs: Micros; readonly part: number; readonly forUs: Micros }
  /** A router stops for `forUs`; events of that time are processed afterwards. */
  | { readonly type: 'freeze'; readonly atUs: Micros; readonly router: number; readonly forUs: Micros }
  /** The tenants' quotas change; each store applies the change within a second. */
  | { readonly type: 'limits'; readonly atUs: Micros; readonly tenants: readonly Tenant[] };

export type QuotaFleetPlan = {
  readonly seed: number;
  readonly routers: number;
  readonly stores: number;
  readonly tolerance: QuotaTolerance;
  readonly loads: readonly TenantLoad[];
  readonly faults: readonly QuotaFault[];
  readonly untilUs: Micros;
  /** When client traffic starts. */
  readonly fromUs: Micros;
};

/** An admitted request that reached a server at `atUs`. */
export type Arrival = { readonly tenant: string; readonly cost: number; readonly atUs: Micros };

export type Rejection = { readonly tenant: string; readonly cost: number; readonly cause: string };

export type QuotaFleetHistory = {
  readonly arrivals: readonly Arrival[];
  readonly admitted: Readonly<Record<'local' | 'store' | 'credit', number>>;
  readonly rejected: readonly Rejection[];
  /** Number of quota requests sent to stores. */
  readonly asks: number;
  /** Longest time from a request to its admission or rejection. */
  readonly longestWaitUs: Micros;
};

type ScheduledEvent = { readonly atUs: Micros; readonly order: number; readonly act: () => void };

/** Priority queue (binary heap) of scheduled events, by time, then by order of scheduling. */
const createEventQueue = () => {
  const heap: ScheduledEvent[] = [];
  let scheduledCount = 0;
  const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean =>
    left.atUs < right.atUs || (left.atUs === right.atUs && left.order < right.order);
  const swap = (one: number, other: number): void => {
    const [first, second] = [heap[one], heap[other]];
    if (first === undefined || second === undefined) return;
    heap[one] = second;
    heap[other] = first;
  };
  const isOutOfOrder = (parent: number, child: number): boolean => {
    const [above, below] = [heap[parent], heap[child]];
    return above !== undefined && below !== undefined && isBefore(below, above);
  };
  return {
    plan: (atUs: Micros, act: () => void): void => {
      heap.push({ atUs, order: scheduledCount, act });
      scheduledCount += 1;
      for (let index = heap.length - 1; index > 0;) {
        const parent = (index - 1) >> 1;
        if (!isOutOfOrder(parent, index)) break;
        swap(parent, index);
        index = parent;
      }
    },
    next: (): ScheduledEvent | undefined => {
      const [first] = heap;
      const last = heap.pop();
      if (first === undefined || last === undefined || heap.length === 0) return first;
      heap[0] = last;
      for (let index = 0; ;) {
        const children = [2 * index + 1, 2 * index + 2].filter((child) => isOutOfOrder(index, child));
        const [one, other] = children;
        if (one === undefined) break;
        const least = other !== undefined && isOutOfOrder(one, other) ? other : one;
        swap(index, least);
        index = least;
      }
      return first;
    },
  };
};

const secondUs = 1_000_000;

/** A deterministic pseudo-random generator (xorshift) of numbers in [0, 1). */
export const seededRandom = (seed: number): (() => number) => {
  let state = (seed * 2654435761) % 4294967296 || 1;
  return () => {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    return (state >>> 0) / 4294967296;
  };
};

/** Simulates routers and stores, each running the production state machine, on a network with delay, loss and partitions. */
export const simulateQuotaFleet = (plan: QuotaFleetPlan): QuotaFleetHistory => {
  const draw = seededRandom(plan.seed);
  const queue = createEventQueue();
  const storeNames = Array.from({ length: plan.stores }, (_, index) => `store-${index}`);
  const stores: QuotaStoreState[] = storeNames.map(() => initialQuotaStore(0));
  const incarnations = storeNames.map(() => 0);
  const silentUntil = storeNames.map(() => 0);
  const unavailableUntil = storeNames.map(() => 0);
  const routers: QuotaReserveState[] = Array.from({ length: plan.routers }, (_, index) =>
    initialQuotaReserve(`router-${index}`),
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

  const configure = (index: number): void => {
    const state = stores[index];
    if (state === undefined) return;
    stores[index] = stepQuotaStore(state, {
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

  const settleRequest = (request: string): Micros => {
    const sent = costs.get(request);
    costs.delete(request);
    const waitUs = nowUs - (sent?.sinceUs ?? nowUs);
    longestWaitUs = Math.max(longestWaitUs, waitUs);
    return waitUs;
  };

  const deliverToRouter = (router: number, event: QuotaReserveEvent): void => {
    const frozenUs = frozenUntil[router] ?? 0;
    if (frozenUs > nowUs) {
      queue.plan(frozenUs, () => deliverToRouter(router, { ...event, at: nowUs }));
      return;
    }
    const state = routers[router];
    if (state === undefined) return;
    const step = stepQuotaReserve(state, event);
    routers[router] = step.state;
    for (const effect of step.effects) {
      if (effect.type === 'admit') {
        const sent = costs.get(effect.request);
        settleRequest(effect.request);
        admitted[effect.source] += 1;
        if (sent !== undefined)
          queue.plan(nowUs + (draw() < 0.1 ? draw() * 400_000 : 3_000), () =>
            arrivals.push({ tenant: sent.tenant, cost: sent.cost, atUs: nowUs }),
          );
      } else if (effect.type === 'reject') {
        const sent = costs.get(effect.request);
        settleRequest(effect.request);
        if (sent !== undefined) rejected.push({ tenant: sent.tenant, cost: sent.cost, cause: effect.cause });
      } else {
        asks += 1;
        const index = storeNames.indexOf(effect.store);
        const isCut = (cutUntil[router] ?? 0) > nowUs;
        if (isCut || isLost()) continue;
        const incarnation = incarnations[index];
        queue.plan(nowUs + delayUs(), () => {
          const store = stores[index];
          if (store === undefined || incarnations[index] !== incarnation || (silentUntil[index] ?? 0) > nowUs) return;
          const isUnavailable = (unavailableUntil[index] ?? 0) > nowUs;
          const storeStep = isUnavailable
            ? undefined
            : stepQuotaStore(store, { type: 'request', at: nowUs, request: effect.request });
          if (storeStep !== undefined) stores[index] = storeStep.state;
          const reply = storeStep?.reply ?? ({ type: 'unavailable' } as const);
          if (isLost()) return;
          queue.plan(nowUs + delayUs(), () => {
            if ((cutUntil[router] ?? 0) <= nowUs)
              deliverToRouter(router, { type: 'reply', at: nowUs, ask: effect.ask, reply });
          });
        });
      }
    }
    const wakeUs = routers[router]?.wakeUs ?? Number.POSITIVE_INFINITY;
    if (Number.isFinite(wakeUs))
      queue.plan(Math.max(nowUs + 100, wakeUs), () => deliverToRouter(router, { type: 'tick', at: nowUs }));
  };

  const injectFault = (fault: QuotaFault): void => {
    switch (fault.type) {
      case 'restart':
        incarnations[fault.store] = (incarnations[fault.store] ?? 0) + 1;
        silentUntil[fault.store] = nowUs + fault.downUs;
        queue.plan(nowUs + fault.downUs, () => {
          stores[fault.store] = initialQuotaStore(nowUs);
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
        storeNames.forEach((_name, index) => queue.plan(nowUs + draw() * 1_000_000, () => configure(index)));
    }
  };

  const send = (load: TenantLoad, count: number): void => {
    const { flood } = load;
    const times = flood !== undefined && nowUs >= flood.fromUs && nowUs < flood.untilUs ? flood.times : 1;
    const request = `${load.tenant.name}-${count}`;
    const cost = Math.max(1, Math.round(load.meanCost === 1 ? 1 : load.meanCost * -Math.log(1 - draw() * 0.999)));
    costs.set(request, { tenant: load.tenant.name, cost, sinceUs: nowUs });
    const router = Math.floor(draw() * plan.routers);
    deliverToRouter(router, { type: 'request', at: nowUs, request, tenant: load.tenant.name, cost });
    const gapUs = (-Math.log(1 - draw()) * secondUs) / (load.requestsPerSecond * times);
    if (nowUs + gapUs < plan.untilUs) queue.plan(nowUs + gapUs, () => send(load, count + 1));
  };

  storeNames.forEach((_name, index) => configure(index));
  routers.forEach((_state, router) => deliverToRouter(router, { type: 'stores', at: 0, stores: storeNames }));
  for (const load of plan.loads) queue.plan(plan.fromUs + draw() * 100_000, () => send(load, 0));
  for (const fault of plan.faults) queue.plan(fault.atUs, () => injectFault(fault));
  for (let next = queue.next(); next !== undefined; next = queue.next()) {
    nowUs = Math.max(nowUs, next.atUs);
    next.act();
  }
  return { arrivals, admitted, rejected, asks, longestWaitUs };
};

/** The largest excess of any tenant's use over its limit in any sliding window; 0 or less if no limit is exceeded. */
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
