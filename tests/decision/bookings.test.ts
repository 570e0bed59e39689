import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { bookingsOf } from '../../src/decision/timeline/bookings.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { startReplicatedState } from '../../src/control/state/replicated-state.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';
import { foundersAt, recordOf, second, serverOf, setup, warmup } from './figures.js';

const entriesOf = (servers: readonly ListedServer[], record = recordOf()): Readonly<Record<string, number>> =>
  Object.fromEntries(
    bookingsOf(record, servers, 'model', 'model').map((booking) => [booking.server.id, booking.entryUs]),
  );

test('servers that open a ring enter at once, a later one is booked', () => {
  const entries = entriesOf([...foundersAt(3, 5 * second), serverOf('new', 50 * second)]);
  assert.is(entries['sa'], 5 * second);
  assert.is(entries['sc'], 5 * second);
  assert.is(entries['new'], 60 * second);
});

test('overlapping bookings end one after another, by listing and then by id, each within its bound', () => {
  const founders = foundersAt(5, 0);
  const joiners = ['n4', 'n2', 'n3', 'n1'].map((id) => serverOf(id, 100 * second));
  const entries = entriesOf([...founders, ...joiners]);
  assert.is(entries['n1'], 110 * second);
  assert.is(entries['n2'], 120 * second);
  assert.is(entries['n3'], 130 * second);
  assert.is(entries['n4'], 130 * second);
});

test('the order of the list and later listings never move an entry moment', () => {
  const servers = [...foundersAt(4, 0), serverOf('n1', 100 * second), serverOf('n2', 103 * second)];
  const entries = entriesOf(servers);
  const later = entriesOf([serverOf('a0', 104 * second), ...[...servers].reverse()]);
  assert.is(later['n1'], entries['n1']);
  assert.is(later['n2'], entries['n2']);
});

test('a change of figures prices later bookings only', () => {
  const slower = { ...warmup, paceUs: 2 * second };
  const changed = {
    ...recordOf({ ...setup, warmup: slower }, 2, 105 * second),
    epochs: [
      { sinceUs: 0, warmup },
      { sinceUs: 105 * second, warmup: slower },
    ],
  };
  const servers = [...foundersAt(4, 0), serverOf('n1', 100 * second), serverOf('n2', 150 * second)];
  const entries = entriesOf(servers, changed);
  assert.is(entries['n1'], 110 * second);
  assert.is(entries['n2'], 170 * second);
});

test('new weights book a server anew', () => {
  const renewed = serverOf('sa', 0, { weights: 'w2', weightsAtUs: 200 * second });
  const entries = entriesOf([...foundersAt(4, 0).slice(1), renewed]);
  assert.is(entries['sa'], 210 * second);
  assert.is(entries['sb'], 0);
});

test('an entry that has passed never comes undone, whichever servers are taken off the list', () => {
  const staggered = Array.from({ length: 9 }, (_, place) =>
    serverOf(`s${place}`, (place < 6 ? place * 2 : place * 20) * second),
  );
  const entries = entriesOf(staggered);
  assert.ok((entries['s4'] ?? 0) <= 8 * second, 'a fleet that starts up enters as it is listed');
  for (let gone = 1; gone < 1 << 9; gone += 1) {
    const left = staggered.filter((_, place) => (gone & (1 << place)) === 0);
    for (const [id, entryUs] of Object.entries(entriesOf(left)))
      assert.ok(
        entryUs <= (entries[id] ?? 0),
        `${id} would enter at ${entryUs}, not ${entries[id]}, without ${gone.toString(2)}`,
      );
  }
});

test('many changes of the figures leave the price of a booking under way as it was', () => {
  const servers = [...foundersAt(4, 0), serverOf('n1', 100 * second)];
  const longer = (place: number) => ({ ...warmup, boundUs: (60 + place) * second, paceUs: 5 * second });
  let state = applyCommand(startReplicatedState, { type: 'setup', proposal: 'p0', expected: 0, setup, atUs: 0 }).state;
  for (let place = 1; place <= 20; place += 1)
    state = applyCommand(state, {
      type: 'setup',
      proposal: `p${place}`,
      expected: place,
      setup: { ...setup, warmup: longer(place) },
      atUs: (101 + place) * second,
    }).state;
  const { record } = state;
  assert.ok(record);
  assert.is(entriesOf(servers, record)['n1'], 110 * second);
});

test.run();
