import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { QuotaTolerance } from '../../src/quota/quota-tolerance.js';
import type { Tenant } from '../../src/setup/document/tenant.js';
import {
  seededRandom,
  simulateQuotaFleet,
  worstExcess,
  type QuotaFault,
  type QuotaFleetPlan,
  type TenantLoad,
} from './quota-fleet.js';

const second = 1_000_000;
const tolerance: QuotaTolerance = { windowUs: 8 * second, excess: 0.1, margin: 110_000 };
/** The limit of a tenant as a multiple of its normal traffic. */
const limitFactor = 1.3;
const meanCost = 6_000;
const seeds = Array.from({ length: 6 }, (_, index) => index + 1);

const tenantOf = (name: string, ratePerSecond: number, burst = ratePerSecond): Tenant => ({
  name,
  keys: [],
  quota: { unit: 'tokens', ratePerSecond, burst, defaultTokens: 200 },
});

/** One large tenant, two medium ones, and the smallest that still sends more than one request a second. */
const rates = [418_000, 150_000, 60_000, 29_000];

const loadOf = (rate: number, index: number): TenantLoad => ({
  tenant: tenantOf(`t${index}`, rate),
  requestsPerSecond: rate / limitFactor / meanCost,
  meanCost,
});

const planOf = (seed: number, more: Partial<QuotaFleetPlan> = {}): QuotaFleetPlan => ({
  seed,
  routers: 68,
  stores: 5,
  tolerance,
  loads: rates.map(loadOf),
  faults: [],
  fromUs: 10 * second,
  untilUs: 40 * second,
  ...more,
});

const limitOf =
  (tenants: readonly Tenant[], { windowUs, excess, margin }: QuotaTolerance) =>
  (name: string): number => {
    const quota = tenants.find((tenant) => tenant.name === name)?.quota;
    if (quota === undefined) return Number.POSITIVE_INFINITY;
    return ((quota.ratePerSecond * windowUs) / second + quota.burst) * (1 + excess) + margin;
  };

const excessOf = (plan: QuotaFleetPlan, tenants = plan.loads.map(({ tenant }) => tenant)): number => {
  const { arrivals } = simulateQuotaFleet(plan);
  assert.ok(arrivals.length > 100, 'more than 100 requests reached a server');
  return worstExcess(arrivals, limitOf(tenants, plan.tolerance), plan.tolerance.windowUs);
};

const withFlood = (index: number, times: number): readonly TenantLoad[] =>
  rates.map((rate, other) => ({
    ...loadOf(rate, other),
    ...(other === index ? { flood: { fromUs: 18 * second, untilUs: 30 * second, times } } : {}),
  }));

test('of normal traffic below the limit, fewer than one request in a thousand is refused', () => {
  let requests = 0;
  let refused = 0;
  for (const seed of seeds) {
    const { admitted, rejected, longestWaitUs } = simulateQuotaFleet(planOf(seed));
    const rejectedCount = rejected.length;
    requests += admitted.local + admitted.store + admitted.credit + rejectedCount;
    refused += rejectedCount;
    assert.ok(longestWaitUs <= 130_000, `${longestWaitUs}`);
  }
  assert.ok(refused * 1_000 < requests, `${refused} of ${requests}`);
});

test('a flood of one tenant stays within its tolerance and causes almost no refusals for other tenants', () => {
  for (const seed of seeds)
    for (const index of rates.keys()) {
      const plan = planOf(seed, { loads: withFlood(index, 7.5) });
      const excess = excessOf(plan);
      assert.ok(excess <= 0, `seed ${seed}, tenant ${index}: ${excess}`);
      const { arrivals, rejected } = simulateQuotaFleet(plan);
      const servedOfOthers = arrivals.filter(({ tenant }) => tenant !== `t${index}`).length;
      const refusedOfOthers = rejected.filter(({ tenant }) => tenant !== `t${index}`).length;
      assert.ok(refusedOfOthers * 100 < servedOfOthers, `seed ${seed}: ${refusedOfOthers} beside ${servedOfOthers}`);
    }
});

test('a flooding tenant uses more than 85 % of its rate', () => {
  for (const seed of seeds.slice(0, 4)) {
    const plan = planOf(seed, { loads: withFlood(0, 7.5) });
    const used = simulateQuotaFleet(plan)
      .arrivals.filter(({ tenant, atUs }) => tenant === 't0' && atUs >= 20 * second && atUs < 28 * second)
      .reduce((sum, { cost }) => sum + cost, 0);
    assert.ok(used > 418_000 * 8 * 0.85, `${used}`);
  }
});

const randomFaults = (seed: number): readonly QuotaFault[] => {
  const draw = seededRandom(seed + 1_000);
  return Array.from({ length: 6 }, (): QuotaFault => {
    const atUs = Math.floor(12 * second + draw() * 24 * second);
    const store = Math.floor(draw() * 5);
    const forUs = Math.floor(200_000 + draw() * 5 * second);
    const roll = draw();
    if (roll < 0.3) return { type: 'restart', atUs, store, downUs: forUs / 2 };
    if (roll < 0.5) return { type: 'silent', atUs, store, forUs };
    if (roll < 0.7) return { type: 'unavailable', atUs, store, forUs };
    if (roll < 0.85) return { type: 'cut', atUs, part: draw() * 0.3, forUs };
    return { type: 'freeze', atUs, router: Math.floor(draw() * 68), forUs };
  });
};

test('under restarts, silent stores, network cuts, freezes and floods, use stays within the tolerance', () => {
  for (const seed of seeds) {
    const loads = withFlood(seed % rates.length, 7.5);
    const excess = excessOf(planOf(seed, { loads, faults: randomFaults(seed) }));
    assert.ok(excess <= 0, `seed ${seed}: ${excess}`);
  }
});

test('losing one of five stores refuses under 2 % of normal traffic; with all silent for a second, requests are admitted on credit', () => {
  for (const seed of seeds.slice(0, 4)) {
    const one = simulateQuotaFleet(
      planOf(seed, { faults: [{ type: 'restart', atUs: 20 * second, store: 2, downUs: 6 * second }] }),
    );
    const refused = one.rejected.length;
    const requests = one.admitted.local + one.admitted.store + one.admitted.credit + refused;
    assert.ok(refused < requests * 0.02, `seed ${seed}: ${refused} of ${requests}`);
    const all = [0, 1, 2, 3, 4].map((store): QuotaFault => ({
      type: 'silent',
      atUs: 20 * second,
      store,
      forUs: second,
    }));
    const none = simulateQuotaFleet(planOf(seed, { faults: all }));
    assert.ok(none.admitted.credit > 0);
    assert.ok(excessOf(planOf(seed, { faults: all })) <= 0);
  }
});

test('a lowered limit holds within a window of taking effect at the stores; a raised limit can be used', () => {
  for (const seed of seeds.slice(0, 6)) {
    const changed = rates.map((rate, index) => tenantOf(`t${index}`, index === 0 ? rate / 4 : rate));
    const plan = planOf(seed, { faults: [{ type: 'limits', atUs: 20 * second, tenants: changed }] });
    const afterChange = simulateQuotaFleet(plan).arrivals.filter(({ atUs }) => atUs > 21 * second);
    const excess = worstExcess(afterChange, limitOf(changed, tolerance), tolerance.windowUs);
    assert.ok(excess <= 0, `seed ${seed}: ${excess}`);
  }
  const raised = rates.map((rate, index) => tenantOf(`t${index}`, index === 0 ? rate * 4 : rate));
  const loads = rates.map((rate, index) => ({
    ...loadOf(rate, index),
    ...(index === 0 ? { flood: { fromUs: 15 * second, untilUs: 40 * second, times: 3 } } : {}),
  }));
  const history = simulateQuotaFleet(
    planOf(1, { loads, faults: [{ type: 'limits', atUs: 20 * second, tenants: raised }] }),
  );
  const usedAfterRaise = history.arrivals
    .filter(({ tenant, atUs }) => tenant === 't0' && atUs > 23 * second && atUs < 31 * second)
    .reduce((sum, { cost }) => sum + cost, 0);
  assert.ok(usedAfterRaise > 418_000 * 8 * 1.5, `${usedAfterRaise}`);
});

test('a quota in requests with a margin smaller than the number of routers stays within its tolerance', () => {
  const requestTolerance: QuotaTolerance = { windowUs: 5 * second, excess: 0.1, margin: 20 };
  const loads = [3, 10, 40].map((rate, index): TenantLoad => ({
    tenant: {
      name: `t${index}`,
      keys: [],
      quota: { unit: 'requests', ratePerSecond: rate, burst: rate, defaultTokens: 0 },
    },
    requestsPerSecond: rate / limitFactor,
    meanCost: 1,
    ...(index === 1 ? { flood: { fromUs: 18 * second, untilUs: 30 * second, times: 8 } } : {}),
  }));
  let requests = 0;
  let refused = 0;
  for (const seed of seeds) {
    const plan = planOf(seed, { routers: 80, tolerance: requestTolerance, loads, faults: randomFaults(seed) });
    assert.ok(excessOf(plan) <= 0, `seed ${seed}`);
    const loadsWithoutFlood = loads.map(({ tenant, requestsPerSecond, meanCost: cost }) => ({
      tenant,
      requestsPerSecond,
      meanCost: cost,
    }));
    const withoutFaults = simulateQuotaFleet({ ...plan, faults: [], loads: loadsWithoutFlood });
    refused += withoutFaults.rejected.length;
    requests += withoutFaults.arrivals.length;
  }
  assert.ok(refused * 100 < requests, `${refused} of ${requests}`);
});

test.run();
