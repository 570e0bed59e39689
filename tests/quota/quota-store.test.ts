import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { grantLeaseUs, canGrant } from '../../src/process/control/quota-store-task.js';
import { fleetBucketLimitsOf } from '../../src/quota/bucket-share.js';
import type { QuotaReply } from '../../src/quota/quota-messages.js';
import { initialQuotaStore, type QuotaStoreState } from '../../src/quota/store/quota-store-state.js';
import { stepQuotaStore } from '../../src/quota/store/step-quota-store.js';
import { unmeteredHold, openQuotaHold } from '../../src/router/exchange/quota-hold.js';
import { quotaCostOf } from '../../src/router/access/quota-cost.js';
import type { Tenant } from '../../src/setup/document/tenant.js';
import { isFrame } from '../../src/spread/frame/frame-guard.js';

const second = 1_000_000;
const tolerance = { windowUs: 8 * second, excess: 0.1, margin: 100_000 };

const tenantOf = (name: string, ratePerSecond: number): Tenant => ({
  name,
  keys: [],
  quota: { unit: 'tokens', ratePerSecond, burst: ratePerSecond, defaultTokens: 0 },
});

const configuredStore = (state: QuotaStoreState, at: number, tenants: readonly Tenant[]): QuotaStoreState =>
  stepQuotaStore(state, { type: 'configured', at, tenants, tolerance, shares: 5 }).state;

const requestTokens = (
  state: QuotaStoreState,
  at: number,
  needed: number,
  more: { takesPart?: boolean; tenant?: string } = {},
) => {
  const { takesPart = false, tenant = 'a' } = more;
  const step = stepQuotaStore(state, {
    type: 'request',
    at,
    request: { tenant, needed, wanted: needed, takesPart },
  });
  const reply: QuotaReply = step.reply ?? { type: 'unavailable' };
  return { state: step.state, reply };
};

test('buckets of a restarted store fill from empty, since their tokens may have been granted before the restart', () => {
  const state = configuredStore(initialQuotaStore(10 * second), 11 * second, [tenantOf('a', 50_000)]);
  const first = requestTokens(state, 11 * second, 10_000);
  assert.is(first.reply.type, 'granted', 'one second of its share of the rate has been refilled');
  assert.is(requestTokens(first.state, 11 * second, 10_000).reply.type, 'exhausted');
  assert.is(requestTokens(first.state, 13 * second, 10_000).reply.type, 'granted');
});

test('the bucket of an added tenant starts full, that of a known tenant keeps its level', () => {
  const initial = configuredStore(initialQuotaStore(0), 0, [tenantOf('a', 50_000)]);
  const later = configuredStore(initial, 0, [tenantOf('a', 50_000), tenantOf('b', 50_000)]);
  assert.is(requestTokens(later, 0, 15_000, { tenant: 'b' }).reply.type, 'granted');
  assert.is(requestTokens(later, 0, 15_000).reply.type, 'exhausted');
});

test('a lowered limit caps the level of the bucket at once', () => {
  const full = configuredStore(initialQuotaStore(0), 60 * second, [tenantOf('a', 500_000)]);
  const lowered = configuredStore(full, 60 * second, [tenantOf('a', 5_000)]);
  const { capacity } = fleetBucketLimitsOf(
    { unit: 'tokens', ratePerSecond: 5_000, burst: 5_000, defaultTokens: 0 },
    tolerance,
  );
  assert.is(requestTokens(lowered, 60 * second, Math.ceil(capacity / 5) + 1).reply.type, 'exhausted');
});

test('a partial grant is made only on request, and never exceeds the level of the bucket', () => {
  const state = configuredStore(initialQuotaStore(0), second, [tenantOf('a', 50_000)]);
  const none = requestTokens(state, second, 20_000);
  assert.equal(none.reply, { type: 'exhausted', tokens: 0, left: 10_000, retryAfterUs: second });
  const part = requestTokens(state, second, 20_000, { takesPart: true });
  assert.equal(part.reply, { type: 'exhausted', tokens: 10_000, left: 0, retryAfterUs: second });
});

test('a store replies unavailable for an unknown tenant, and grants to a tenant without a quota', () => {
  const state = configuredStore(initialQuotaStore(0), 0, [{ name: 'free', keys: [] }]);
  assert.is(requestTokens(state, 0, 5, { tenant: 'nobody' }).reply.type, 'unavailable');
  assert.equal(requestTokens(state, 0, 5, { tenant: 'free' }).reply, { type: 'granted', tokens: 5 });
});

test('only a leader, or a voter with leader contact within the lease, may grant', () => {
  const member = { identity: 'me', address: 'a:1', voter: true };
  const replica: Replica = {
    ...createReplica('me', 'a:1', []),
    role: 'follower',
    leaderContactUs: 5 * second,
    snapshot: { ...createReplica('me', 'a:1', []).snapshot, members: [member] },
  };
  assert.ok(canGrant(replica, 5 * second + grantLeaseUs - 1));
  assert.not.ok(canGrant(replica, 5 * second + grantLeaseUs));
  assert.ok(canGrant({ ...replica, role: 'leader' }, 60 * second));
  assert.not.ok(canGrant({ ...replica, isLeaving: true }, 5 * second));
  const learner = { ...replica, snapshot: { ...replica.snapshot, members: [{ ...member, voter: false }] } };
  assert.not.ok(canGrant(learner, 5 * second));
});

test('a request is charged for each attempt that may have run, and refunded if none was sent', () => {
  const calls: string[] = [];
  const account = {
    refund: (tenant: string, tokens: number) => void calls.push(`refund ${tenant} ${tokens}`),
    charge: (tenant: string, tokens: number) => void calls.push(`charge ${tenant} ${tokens}`),
  };
  const facts = { tenant: 'a', cost: 7, source: 'local' };
  const unsent = openQuotaHold(account, facts);
  unsent.end();
  unsent.end();
  assert.equal(calls.splice(0), ['refund a 7']);
  const turnedAway = openQuotaHold(account, facts);
  turnedAway.sent();
  turnedAway.notRun();
  turnedAway.sent();
  turnedAway.end();
  assert.equal(calls.splice(0), []);
  const retried = openQuotaHold(account, facts);
  retried.sent();
  retried.sent();
  retried.end();
  assert.equal(calls.splice(0), ['charge a 7']);
  unmeteredHold.sent();
  unmeteredHold.end();
});

test('the cost of a request is one, or its tokens, or the default tokens if their number is unknown', () => {
  const quota = { ratePerSecond: 1, burst: 1, defaultTokens: 200 };
  assert.is(quotaCostOf({ ...quota, unit: 'requests' }, 5_000), 1);
  assert.is(quotaCostOf({ ...quota, unit: 'tokens' }, 5_000), 5_000);
  assert.is(quotaCostOf({ ...quota, unit: 'tokens' }, 0), 0);
  assert.is(quotaCostOf({ ...quota, unit: 'tokens' }, undefined), 200);
});

test('quota frames with missing or invalid fields are rejected', () => {
  const request = { tenant: 'a', needed: 5, wanted: 9, takesPart: false };
  assert.ok(isFrame({ type: 'quota-request', ask: 3, request }));
  assert.not.ok(isFrame({ type: 'quota-request', ask: 3, request: { ...request, needed: -1 } }));
  assert.not.ok(isFrame({ type: 'quota-request', ask: 3, request: { ...request, takesPart: undefined } }));
  assert.not.ok(isFrame({ type: 'quota-request', request }));
  const exhausted = { type: 'exhausted', tokens: 0, left: 4, retryAfterUs: 50_000 };
  for (const reply of [{ type: 'unavailable' }, { type: 'granted', tokens: 4 }, exhausted])
    assert.ok(isFrame({ type: 'quota-reply', ask: 3, reply }));
  for (const reply of [{ type: 'granted' }, { ...exhausted, left: Number.NaN }, { type: 'other', tokens: 1 }])
    assert.not.ok(isFrame({ type: 'quota-reply', ask: 3, reply }));
});

test.run();
