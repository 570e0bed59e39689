import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { applyReading } from '../../src/servers/source/apply-reading.js';
import type { PolledServer } from '../../src/servers/source/polled-server.js';

const second = 1_000_000;
const startUs = 1_000_000 * second;
const serverWith = (id: string, more: Partial<PolledServer> = {}): PolledServer => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  locality: 'a',
  state: 'up',
  ...more,
});
const whole = (...servers: readonly PolledServer[]) => ({ servers, whole: true });

test('a new server is stamped once, and its incarnation defaults to its id', () => {
  const first = applyReading(undefined, whole(serverWith('a')), startUs);
  const next = applyReading(first, whole(serverWith('a'), serverWith('b')), startUs + second);
  assert.equal(
    next.servers.map(({ id, incarnation, listedAtUs }) => [id, incarnation, listedAtUs]),
    [
      ['a', 'a', startUs],
      ['b', 'b', startUs + second],
    ],
  );
  assert.ok(next.version > first.version);
});

test('a reading without changes returns the same list object', () => {
  const first = applyReading(undefined, whole(serverWith('a', { weights: 'w' })), startUs);
  assert.is(applyReading(first, whole(serverWith('a', { weights: 'w' })), startUs + second), first);
});

test('leaving is stamped by the first reading that shows it, and is never reverted', () => {
  const first = applyReading(undefined, whole(serverWith('a')), startUs);
  const leaving = applyReading(first, whole(serverWith('a', { state: 'leaving' })), startUs + second);
  assert.is(leaving.servers[0]?.leavingAtUs, startUs + second);
  assert.is(applyReading(leaving, whole(serverWith('a', { state: 'leaving' })), startUs + 2 * second), leaving);
  assert.is(applyReading(leaving, whole(serverWith('a')), startUs + 2 * second), leaving);
});

test('only a complete reading marks a missing server as gone', () => {
  const first = applyReading(undefined, whole(serverWith('a'), serverWith('b')), startUs);
  assert.is(applyReading(first, { servers: [serverWith('a')], whole: false }, startUs + second), first);
  const next = applyReading(first, whole(serverWith('a')), startUs + second);
  assert.equal(
    next.servers.map(({ id, state, goneAtUs }) => [id, state, goneAtUs]),
    [
      ['a', 'up', undefined],
      ['b', 'gone', startUs + second],
    ],
  );
});

test('a reading that began before a server was listed does not mark it as gone', () => {
  const first = applyReading(undefined, whole(serverWith('a')), startUs);
  const next = applyReading(first, whole(serverWith('a'), serverWith('b')), startUs + 2 * second);
  const late = applyReading(next, whole(serverWith('a')), startUs + 4 * second, startUs + second);
  assert.is(late, next);
});

test('a new id at the address of a listed server is a new server', () => {
  const first = applyReading(undefined, whole(serverWith('a')), startUs);
  const next = applyReading(first, whole(serverWith('b')), startUs + second);
  assert.equal(
    next.servers.map(({ id, state, address }) => [id, state, address]),
    [
      ['a', 'gone', '10.0.0.1:80'],
      ['b', 'up', '10.0.0.1:80'],
    ],
  );
});

test('a change of weights gets a new stamp', () => {
  const first = applyReading(undefined, whole(serverWith('a', { weights: 'w1' })), startUs);
  const next = applyReading(first, whole(serverWith('a', { weights: 'w2' })), startUs + second);
  assert.equal([next.servers[0]?.weights, next.servers[0]?.weightsAtUs], ['w2', startUs + second]);
  assert.ok(next.version > first.version);
});

test.run();
