import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { bookingsOf } from '../../src/decision/topology/bookings.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { emptyReplicatedState } from '../../src/control/state/replicated-state.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';
import { initialServersAt, recordOf, second, serverOf, setup, warmup } from './fixtures.js';

const entriesOf = (servers: readonly ListedServer[], record = recordOf()): Readonly<Record<string, number>> =>
  Object.fromEntries(
    bookingsOf(record, servers, 'model', 'model').map((booking) => [booking.server.id, booking.entryUs]),
  );

test('the initial servers of a service enter at once, a later one gets a booking', () => {
  const entries = entriesOf([...initialServersAt(3, 5 * second), serverOf('new', 50 * second)]);
  assert.is(entries['sa'], 5 * second);
  assert.is(entries['sc'], 5 * second);
  assert.is(entries['new'], 60 * second);
});

test('overlapping bookings end one after another, by listing and then by id, each within its bound', () => {
  const initialServers = initialServersAt(5, 0);
  const joiners = ['n4', 'n2', 'n3', 'n1'].map((id) => serverOf(id, 100 * second));
  const entries = entriesOf([...initialServers, ...joiners]);
  assert.is(entries['n1'], 110 * second);
  assert.is(entries['n2'], 120 * second);
  assert.is(entries['n3'], 130 * second);
  assert.is(entries['n4'], 130 * second);
});

test('neither the order of the list nor a later listing moves an entry moment', () => {
  const servers = [...initialServersAt(4, 0), serverOf('n1', 100 * second), serverOf('n2', 103 * second)];
  const entries = entriesOf(servers);
  const later = entriesOf([serverOf('a0', 104 * second), ...[...servers].reverse()]);
  assert.is(later['n1'], entries['n1']);
  assert.is(later['n2'], entries['n2']);
});

test('a change of the warm-up settings applies to later bookings only', () => {
  const slower = { ...warmup, paceUs: 2 * second };
  const changed = {
    ...recordOf({ ...setup, warmup: slower }, 2, 105 * second),
    epochs: [
      { sinceUs: 0, warmup },
      { sinceUs: 105 * second, warmup: slower },
    ],
  };
  const servers = [...initialServersAt(4, 0), serverOf('n1', 100 * second), serverOf('n2', 150 * second)];
  const entries = entriesOf(servers, changed);
  assert.is(entries['n1'], 110 * second);
  assert.is(entries['n2'], 170 * second);
});

test('a server with new model weights gets a new booking', () => {
  const reweighted = serverOf('sa', 0, { weights: 'w2', weightsAtUs: 200 * second });
  const entries = entriesOf([...initialServersAt(4, 0).slice(1), reweighted]);
  assert.is(entries['sa'], 210 * second);
  assert.is(entries['sb'], 0);
});

test('an entry moment that has passed never moves to a later time, whichever servers are removed from the list', () => {
  const staggered = Array.from({ length: 9 }, (_, index) =>
    serverOf(`s${index}`, (index < 6 ? index * 2 : index * 20) * second),
  );
  const entries = entriesOf(staggered);
  assert.ok((entries['s4'] ?? 0) <= 8 * second, 'initial servers enter when they are listed');
  for (let removed = 1; removed < 1 << 9; removed += 1) {
    const remaining = staggered.filter((_, index) => (removed & (1 << index)) === 0);
    for (const [id, entryUs] of Object.entries(entriesOf(remaining)))
      assert.ok(
        entryUs <= (entries[id] ?? 0),
        `${id} enters at ${entryUs} us instead of ${entries[id]} us without the servers of bit mask ${removed.toString(2)}`,
      );
  }
});

test('many changes of the warm-up settings leave a pending booking as it was', () => {
  const servers = [...initialServersAt(4, 0), serverOf('n1', 100 * second)];
  const warmupAfter = (index: number) => ({ ...warmup, boundUs: (60 + index) * second, paceUs: 5 * second });
  let state = applyCommand(emptyReplicatedState, { type: 'setup', proposal: 'p0', expected: 0, setup, atUs: 0 }).state;
  for (let index = 1; index <= 20; index += 1)
    state = applyCommand(state, {
      type: 'setup',
      proposal: `p${index}`,
      expected: index,
      setup: { ...setup, warmup: warmupAfter(index) },
      atUs: (101 + index) * second,
    }).state;
  const { record } = state;
  assert.ok(record);
  assert.is(entriesOf(servers, record)['n1'], 110 * second);
});

test.run();
