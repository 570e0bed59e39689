import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { serialize } from 'bson';
import { setupOfDocument } from '../../platform/operator/setup-of-document.js';
import { checkSetup } from '../../src/setup/check/check-setup.js';
import { isRecordDelta, isSetup } from '../../src/setup/check/setup-guard.js';
import { recordDeltaOf, applyRecordDelta } from '../../src/setup/delta/record-delta.js';
import { recordDigestOf } from '../../src/setup/delta/record-digest.js';
import { shareUnchanged } from '../../src/setup/delta/share-unchanged.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import type { Tenant } from '../../src/setup/document/tenant.js';
import { tenantOfKey } from '../../src/setup/match/tenant-of-key.js';
import { convertObjects } from '../../src/setup/objects/convert-objects.js';
import { setup, warmup } from '../decision/fixtures.js';
import { pageDocument, retryLimits } from '../platform/documents.js';

const secret = 'a-key-that-nobody-may-read';
const quota = { unit: 'tokens', ratePerSecond: 1_000, burst: 500, defaultTokens: 20 } as const;
const tenantCount = 1_100;
/** The maximum size of the delta for a change of one key, independent of the number of tenants. */
const maxBytesPerChange = 2_500;

const withTenants = (tenants: unknown): unknown => ({ ...setup, tenants });

const faultsOf = (value: unknown): readonly string[] =>
  checkSetup(value).caseOf({
    Left: (faults) => faults.map(({ path, message }) => `${path}: ${message}`),
    Right: () => [],
  });

test('tenants with keys, tiers and quotas are valid', () => {
  const tenants = [
    { name: 'archive', keys: [secret, 'second'], tier: 'first', quota },
    { name: 'Press.Floor', keys: [] },
  ];
  assert.equal(faultsOf(withTenants(tenants)), []);
  assert.ok(isSetup(withTenants(tenants)));
});

test('every fault of a tenant is reported by its path, and no message contains a key', () => {
  const cases: readonly (readonly [unknown, string])[] = [
    [
      [
        { name: 'a', keys: [secret] },
        { name: 'b', keys: ['x', secret] },
      ],
      'tenants[1].keys[1]',
    ],
    [
      [
        { name: 'a', keys: [] },
        { name: 'a', keys: [] },
      ],
      'tenants[1].name',
    ],
    [[{ name: 'a', keys: [], tier: 'nowhere' }], 'tenants[0].tier'],
    [[{ name: 'a', keys: [], quota: { ...quota, ratePerSecond: -1 } }], 'tenants[0].quota.ratePerSecond'],
    [[{ name: 'a', keys: [], quota: { ...quota, burst: '5' } }], 'tenants[0].quota.burst'],
    [[{ name: 'a', keys: [], quota: { ...quota, unit: 'hours' } }], 'tenants[0].quota.unit'],
    [[{ name: 'a b', keys: [] }], 'tenants[0].name'],
    [[{ name: 'a' }], 'tenants[0].keys'],
    [[{ name: 'a', keys: secret }], 'tenants[0].keys'],
    [[{ name: 'a', keys: [`${secret} x`] }], 'tenants[0].keys[0]'],
    [[{ name: 'a', keys: [[secret]] }], 'tenants[0].keys[0]'],
  ];
  for (const [tenants, path] of cases) {
    const faults = faultsOf(withTenants(tenants));
    assert.ok(
      faults.some((fault) => fault.startsWith(`${path}: `)),
      `${path}: ${faults.join('; ')}`,
    );
    assert.not.ok(faults.join().includes(secret), path);
  }
});

test("the platform's document reports the same faults, and its tenants are converted from its own field names", () => {
  const documentFaults = (tenants: unknown): string =>
    setupOfDocument({ ...pageDocument, tenants }, retryLimits).caseOf({
      Left: (faults) => JSON.stringify(faults),
      Right: () => '',
    });
  const shared = documentFaults([
    { name: 'a', keys: [secret] },
    { name: 'b', keys: [secret] },
  ]);
  assert.match(shared, /tenants\[1\]\.keys\[0\]/);
  assert.not.ok(shared.includes(secret));
  assert.match(documentFaults([{ name: 'a', keys: [], rate_s: -1 }]), /tenants\[0\]\.rate_s/);
  assert.not.ok(documentFaults([{ name: 'a', keys: secret }]).includes(secret));
  const { setup: convertedSetup } = setupOfDocument(
    {
      ...pageDocument,
      routes: pageDocument.routes.map((route, index) => ({ ...route, public: index === 1 })),
      tenants: [
        { name: 'a', keys: ['k'], prio: 4, unit: 'tok', raw_toks: 200, rate_s: 10, burst: 5 },
        { name: 'b', keys: [], rate_s: 0 },
      ],
    },
    retryLimits,
  ).unsafeCoerce();
  assert.equal(convertedSetup.tenants, [
    { name: 'a', keys: ['k'], tier: 'p4', quota: { unit: 'tokens', ratePerSecond: 10, burst: 5, defaultTokens: 200 } },
    { name: 'b', keys: [] },
  ]);
  assert.equal(
    convertedSetup.tiers.map(({ name }) => name),
    ['p0', 'p1', 'p4'],
  );
  assert.equal(
    convertedSetup.rules.map((rule) => rule.public),
    [undefined, true],
  );
  assert.ok(checkSetup(convertedSetup).isRight());
});

test('tenants can be converted from objects', () => {
  const objects = [
    { kind: 'Fleet', metadata: { name: setup.name }, spec: fleetSpecOf() },
    ...setup.services.map(({ name, ...spec }) => ({ kind: 'Service', metadata: { name }, spec })),
    ...setup.tiers.map(({ name, ...spec }) => ({ kind: 'Tier', metadata: { name }, spec })),
    ...setup.rules.map(({ kind, ...spec }) => ({ kind: 'Rule', metadata: { name: kind }, spec })),
    { kind: 'Tenant', metadata: { name: 'archive' }, spec: { keys: [secret], tier: 'nowhere', quota } },
  ];
  const text = objects.map((object) => JSON.stringify({ apiVersion: 'ledgehill/v1', ...object })).join('\n---\n');
  assert.match(JSON.stringify(convertObjects(text).extract()), /\(Tenant archive\): spec\.tier/);
  const converted = convertObjects(text.replace('nowhere', 'first')).unsafeCoerce();
  assert.equal(converted.tenants, [{ name: 'archive', keys: [secret], tier: 'first', quota }]);
});

const fleetSpecOf = () => ({
  fleet: setup.fleet,
  warmup: setup.warmup,
  flight: setup.flight,
  pressure: setup.pressure,
  retry: setup.retry,
  leaving: setup.leaving,
});

const tenantsAt = (changedIndex: number): readonly Tenant[] =>
  Array.from({ length: tenantCount }, (_, index) => ({
    name: `tenant-${index}`,
    keys: index === changedIndex ? [`key-${index}`, 'added'] : [`key-${index}`],
    quota,
  }));

const recordOf = (revision: number, tenants: readonly Tenant[] | undefined): SetupRecord => ({
  revision,
  takenAtUs: revision,
  setup: { ...setup, ...(tenants === undefined ? {} : { tenants }) },
  epochs: [{ sinceUs: 0, warmup }],
});

test('a change of one key among many tenants is sent as a small delta, and all other tenants are shared with the base', () => {
  const base = recordOf(1, tenantsAt(-1));
  const target = recordOf(2, tenantsAt(700));
  const delta = recordDeltaOf(base, target);
  assert.ok(isRecordDelta(delta));
  assert.ok(serialize({ delta }).length < maxBytesPerChange, `${serialize({ delta }).length}`);
  const result = applyRecordDelta(base, delta);
  assert.equal(result, target);
  assert.is(result?.setup.tenants?.[5], base.setup.tenants?.[5]);
  assert.is(tenantOfKey(result?.setup ?? {}, 'added')?.name, 'tenant-700');
  assert.is(tenantOfKey(base.setup, 'added'), undefined);
});

test('delta and digest distinguish added, removed and unchanged tenants, and an empty list from none', () => {
  const none = recordOf(1, undefined);
  const empty = recordOf(2, []);
  const some = recordOf(3, tenantsAt(-1).slice(0, 3));
  for (const [base, target] of [
    [none, empty],
    [empty, some],
    [some, empty],
    [some, none],
    [none, some],
  ] as const) {
    const result = applyRecordDelta(base, recordDeltaOf(base, target));
    assert.equal(result, target);
    assert.is('tenants' in (result?.setup ?? {}), 'tenants' in target.setup);
  }
  assert.is.not(recordDigestOf(none), recordDigestOf({ ...none, setup: { ...none.setup, tenants: [] } }));
  const copy: SetupRecord = structuredClone({ ...some, revision: 4 });
  assert.is(shareUnchanged(some, copy).setup.tenants, some.setup.tenants);
});

test.run();
