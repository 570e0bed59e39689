import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { foldReading } from '../../src/servers/source/fold-reading.js';
import type { ReadServer } from '../../src/servers/source/read-server.js';

const second = 1_000_000;
const startUs = 1_000_000 * second;
const shown = (id: string, more: Partial<ReadServer> = {}): ReadServer => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  locality: 'a',
  state: 'up',
  ...more,
});
const whole = (...servers: readonly ReadServer[]) => ({ servers, whole: true });

test('a new server is stamped once, and its incarnation is its id where none is told', () => {
  const first = foldReading(undefined, whole(shown('a')), startUs);
  const next = foldReading(first, whole(shown('a'), shown('b')), startUs + second);
  assert.equal(
    next.servers.map(({ id, incarnation, listedAtUs }) => [id, incarnation, listedAtUs]),
    [
      ['a', 'a', startUs],
      ['b', 'b', startUs + second],
    ],
  );
  assert.ok(next.version > first.version);
});

test('a reading that shows nothing new leaves the list itself', () => {
  const first = foldReading(undefined, whole(shown('a', { weights: 'w' })), startUs);
  assert.is(foldReading(first, whole(shown('a', { weights: 'w' })), startUs + second), first);
});

test('leaving is stamped when first shown, and never taken back', () => {
  const first = foldReading(undefined, whole(shown('a')), startUs);
  const leaving = foldReading(first, whole(shown('a', { state: 'leaving' })), startUs + second);
  assert.is(leaving.servers[0]?.leavingAtUs, startUs + second);
  assert.is(foldReading(leaving, whole(shown('a', { state: 'leaving' })), startUs + 2 * second), leaving);
  assert.is(foldReading(leaving, whole(shown('a')), startUs + 2 * second), leaving);
});

test('only a whole reading proves a server gone', () => {
  const first = foldReading(undefined, whole(shown('a'), shown('b')), startUs);
  assert.is(foldReading(first, { servers: [shown('a')], whole: false }, startUs + second), first);
  const next = foldReading(first, whole(shown('a')), startUs + second);
  assert.equal(
    next.servers.map(({ id, state, goneAtUs }) => [id, state, goneAtUs]),
    [
      ['a', 'up', undefined],
      ['b', 'gone', startUs + second],
    ],
  );
});

test('a reading from before a server was listed does not prove it gone', () => {
  const first = foldReading(undefined, whole(shown('a')), startUs);
  const next = foldReading(first, whole(shown('a'), shown('b')), startUs + 2 * second);
  const late = foldReading(next, whole(shown('a')), startUs + 4 * second, startUs + second);
  assert.is(late, next);
});

test('a new id at an address is another server', () => {
  const first = foldReading(undefined, whole(shown('a')), startUs);
  const next = foldReading(first, whole(shown('b')), startUs + second);
  assert.equal(
    next.servers.map(({ id, state, address }) => [id, state, address]),
    [
      ['a', 'gone', '10.0.0.1:80'],
      ['b', 'up', '10.0.0.1:80'],
    ],
  );
});

test('weights that change are stamped anew', () => {
  const first = foldReading(undefined, whole(shown('a', { weights: 'w1' })), startUs);
  const next = foldReading(first, whole(shown('a', { weights: 'w2' })), startUs + second);
  assert.equal([next.servers[0]?.weights, next.servers[0]?.weightsAtUs], ['w2', startUs + second]);
  assert.ok(next.version > first.version);
});

test.run();
