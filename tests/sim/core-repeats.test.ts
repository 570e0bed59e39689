import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { OperatorReply } from '../../src/process/operator/operator-reply.js';
import { openCoreFleet, type AskedCore } from '../../src/sim/core/core-fleet.js';
import type { SimControl } from '../../src/sim/core/sim-control.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const second = 1_000_000;
const setup = sampleSetup('first');

type Order = { readonly version: number; readonly expectedVersion: number; readonly text?: string };

const typeOf = (reply: OperatorReply): string => (reply.type === 'decided' ? reply.outcome.type : reply.type);

const orderAt = (
  machine: SimControl,
  { version, expectedVersion, text = `document ${version}` }: Order,
): Promise<string> =>
  new Promise((resolve) => {
    const isThere = machine.hear(({ desk }) => {
      void desk
        .putOriginal({ setup, original: { version, text }, expectedVersion })
        .then((reply) => resolve(typeOf(reply)));
    });
    if (!isThere) resolve('refused');
  });

/** The same order at one machine after the other until a reply is definite. */
const orderAgain = async (fleet: AskedCore, order: Order, tries = 12): Promise<string> => {
  const machine = fleet.machines[tries % fleet.machines.length];
  if (machine === undefined) return 'refused';
  const reply = orderAt(machine, order);
  await fleet.playFor(second);
  const type = await Promise.race([reply, Promise.resolve('unknown')]);
  return (type === 'unknown' || type === 'refused') && tries > 1 ? orderAgain(fleet, order, tries - 1) : type;
};

const revisionOf = (fleet: AskedCore): number => fleet.leader()?.replica().state.record?.revision ?? 0;

const startedFleet = async (seed: number): Promise<AskedCore> => {
  const fleet = openCoreFleet(seed, undefined, { refounds: false });
  await fleet.playFor(5 * second);
  return fleet;
};

test('the same order through all machines at once is one revision, acknowledged by all', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const fleet = await startedFleet(seed);
    const replies = fleet.machines.map((machine) => orderAt(machine, { version: 4, expectedVersion: 0 }));
    await fleet.playFor(second);
    assert.equal(await Promise.all(replies), ['committed', 'committed', 'committed'], `seed ${seed}`);
    assert.is(revisionOf(fleet), 1, `seed ${seed}`);
  }
});

test('eight orders at once under one number and with different texts: one is ever acknowledged', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const fleet = await startedFleet(seed);
    const orders = Array.from({ length: 8 }, (_, place) => ({ version: 4, expectedVersion: 0, text: `text ${place}` }));
    const replies = orders.flatMap((order, place) => {
      const machine = fleet.machines[place % fleet.machines.length];
      return machine === undefined ? [] : [orderAt(machine, order)];
    });
    await fleet.playFor(second);
    const counts = (await Promise.all(replies)).sort();
    assert.equal(counts, ['committed', ...Array.from({ length: 7 }, () => 'conflict')], `seed ${seed}`);
    for (const order of orders)
      assert.is(
        await orderAgain(fleet, order),
        order.text === fleet.leader()?.replica().state.record?.original?.text ? 'committed' : 'conflict',
        `seed ${seed}: ${order.text} again`,
      );
    assert.is(revisionOf(fleet), 1, `seed ${seed}`);
  }
});

test('an order whose acknowledgement is lost over and over is known 600 changes, a leader and all restarts later', async () => {
  const fleet = await startedFleet(7);
  const first = { version: 1, expectedVersion: 0 };
  for (let turn = 0; turn < 6; turn += 1) {
    const machine = fleet.machines[turn % 3];
    if (machine !== undefined) void orderAt(machine, first);
    await fleet.playFor(second / 10);
  }
  await fleet.playFor(second);
  assert.is(revisionOf(fleet), 1, 'one revision of six repeats');
  for (let version = 2; version <= 600; version += 1) {
    const leader = fleet.leader();
    if (leader !== undefined) void orderAt(leader, { version, expectedVersion: version - 1 });
    await fleet.playFor(20_000);
  }
  await fleet.playFor(second);
  const newest = revisionOf(fleet);
  assert.is(newest, 600);
  assert.is(await orderAgain(fleet, first), 'committed', 'hundreds of changes later');
  const formerLeader = fleet.leader();
  formerLeader?.kill();
  await fleet.playFor(3 * second);
  assert.is(await orderAgain(fleet, first), 'committed', 'after a change of leader');
  formerLeader?.start();
  await fleet.playFor(3 * second);
  fleet.machines.forEach((machine) => machine.kill());
  fleet.machines.forEach((machine) => machine.start());
  await fleet.playFor(3 * second);
  assert.is(await orderAgain(fleet, first), 'committed', 'after a restart of all');
  assert.is(await orderAgain(fleet, { ...first, text: 'other' }), 'conflict', 'another text under its number');
  const emptied = fleet.machines.find((machine) => machine !== fleet.leader());
  emptied?.loseDisk();
  emptied?.start();
  await fleet.playFor(5 * second);
  assert.equal(emptied?.replica().state.documents.committed.entries.size, 600, 'installed with a snapshot');
  assert.is(revisionOf(fleet), newest);
  assert.equal(fleet.rules.broken(), []);
});

test.run();
