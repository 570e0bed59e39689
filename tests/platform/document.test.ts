import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setupOfDocument } from '../../platform/operator/setup-of-document.js';
import { checkSetup } from '../../src/setup/check/check-setup.js';
import { grownDocument, pageDocument, retryLimits, withSecondRoute } from './documents.js';

const made = (value: unknown) => setupOfDocument(value, retryLimits).unsafeCoerce();

const faultPaths = (value: unknown): readonly string[] =>
  setupOfDocument(value, retryLimits).caseOf({ Left: (faults) => faults.map((fault) => fault.path), Right: () => [] });

test("the page's document becomes a setup that the product takes", () => {
  const { version, setup } = made(pageDocument);
  assert.is(version, 7);
  assert.ok(checkSetup(setup).isRight());
  const [first, second] = setup.rules;
  assert.equal(first, {
    kind: 'r-73d3zji',
    service: 'huvo11a',
    split: [
      { service: 'huvo11a', weight: 90 },
      { service: 'wuno96b', weight: 10 },
    ],
    match: { host: 'ficu95.example', path: '/lohu930/' },
    tier: 'p0',
    repeatable: true,
    resumable: true,
    streams: true,
    mostTries: 2,
    budgetUs: 12_000_000,
    targetUs: 1_200_000,
    firstPieceUs: 4_800_000,
    silenceUs: 4_800_000,
  });
  assert.ok(second !== undefined && !second.repeatable && !second.resumable && second.split === undefined);
  assert.equal(
    setup.tiers.map((tier) => tier.name),
    ['p0', 'p1'],
  );
  assert.equal(setup.services, [
    { name: 'huvo11a', type: 'model', mostLinks: 370, engine: { slots: 64, memoryTokens: 423541 } },
    { name: 'wuno96b', type: 'model', mostLinks: 110 },
  ]);
  assert.equal(setup.callers, { headBytes: 16384, bodyBytes: 4194304, headUs: 3_000_000, idleUs: 15_000_000 });
  assert.equal(setup.retry, { fraction: 0.2, fleetExtra: 52 });
});

test('kinds of requests say what may be repeated, and hosts are compared in lower case', () => {
  const idem = made(withSecondRoute({ kind: 'idem', host: 'FICU95.example', pin: false })).setup.rules[1];
  assert.ok(idem !== undefined && idem.repeatable && !idem.streams && !idem.resumable);
  assert.is(idem.match?.host, 'ficu95.example');
  assert.is(idem.silenceUs, idem.budgetUs);
  assert.is(made(withSecondRoute({ kind: 'once' })).setup.rules[1]?.repeatable, false);
});

test('every invalid kind of document is named by its path', () => {
  assert.equal(faultPaths('text'), ['']);
  assert.equal(faultPaths([]), ['']);
  assert.ok(faultPaths({}).includes('ver') && faultPaths({}).includes('routes') && faultPaths({}).includes('svcs'));
  assert.equal(faultPaths({ ...pageDocument, ver: 0 }), ['ver']);
  assert.equal(faultPaths({ ...pageDocument, ver: 1.5 }), ['ver']);
  assert.equal(faultPaths({ ...pageDocument, routes: [null] }), ['routes[0]']);
  assert.equal(faultPaths(withSecondRoute({ svc: 'none' })), ['routes[1].svc']);
  assert.equal(faultPaths(withSecondRoute({ svc: undefined })), ['routes[1].svc']);
  assert.equal(faultPaths(withSecondRoute({ svc: undefined, split: [{ svc: 'none', wt: 1 }] })), ['routes[1].split']);
  assert.equal(faultPaths(withSecondRoute({ svc: undefined, split: [{ svc: 'huvo11a', wt: 0 }] })), [
    'routes[1].split',
  ]);
  assert.equal(faultPaths(withSecondRoute({ prefix: '/lohu930/' })), ['routes[1].prefix']);
  assert.equal(faultPaths(withSecondRoute({ prefix: '/lohu930/', host: 'FICU95.EXAMPLE' })), ['routes[1].prefix']);
  assert.equal(faultPaths(withSecondRoute({ prefix: 'lohu' })), ['routes[1].prefix']);
  assert.equal(faultPaths(withSecondRoute({ timeout_ms: 0 })), ['routes[1].timeout_ms']);
  assert.equal(faultPaths(withSecondRoute({ kind: 'twice' })), ['routes[1].kind']);
});

test('unknown fields are passed over, and names that do not fit are made to fit, always the same', () => {
  assert.equal(made({ ...pageDocument, more: 1 }).setup, made(pageDocument).setup);
  assert.equal(made(withSecondRoute({ more: { deep: 1 } })).setup, made(pageDocument).setup);
  const odd = made(withSecondRoute({ name: 'Rôle 9' }));
  assert.ok(checkSetup(odd.setup).isRight());
  assert.equal(odd.setup, made(withSecondRoute({ name: 'Rôle 9' })).setup);
  const twice = made(withSecondRoute({ name: 'r-73d3zji' }));
  assert.ok(checkSetup(twice.setup).isRight());
  assert.is(new Set(twice.setup.rules.map((rule) => rule.kind)).size, 2);
});

test('a document of 350 routes is a setup of 350 rules', () => {
  const { setup } = made(grownDocument(350));
  assert.is(setup.rules.length, 350);
  assert.ok(checkSetup(setup).isRight());
});

test.run();
