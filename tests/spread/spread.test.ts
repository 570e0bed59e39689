import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openCounters } from '../../src/process/counters.js';
import { openGossipTask, type GossipTask } from '../../src/process/gossip-task.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import type { SimPorts } from '../../src/sim/process/sim-ports.js';
import { simSurroundingsOf } from '../../src/sim/process/sim-surroundings.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import { openNetwork, type Network } from '../../src/sim/world/network.js';
import { openWorld, type World } from '../../src/sim/world/world.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { initialServersAt, listOf } from '../decision/fixtures.js';

const second = 1_000_000;

const recordAt = (revision: number): SetupRecord => ({
  revision,
  takenAtUs: 0,
  setup: sampleSetup(`setup-${revision}`),
  epochs: [],
});

type Group = {
  readonly world: World;
  readonly network: Network;
  readonly ports: SimPorts;
  readonly spreads: readonly GossipTask[];
  readonly counts: Map<string, number>;
  readonly addresses: readonly string[];
};

/** Twelve processes with the same three seeds; received frames are counted by type. */
const openGroup = (seed: number): Group => {
  const world = openWorld(seed);
  const network = openNetwork(world);
  const counts = new Map<string, number>();
  const ports: SimPorts = new Map();
  const addresses = Array.from({ length: 12 }, (_, index) => `node-${index}:1`);
  const spreads = addresses.map((address) => {
    const surroundings = simSurroundingsOf(
      { world, network, ports, serverAt: () => undefined, note: () => undefined },
      address,
      address,
      openSimNode(world).begin(),
    );
    const node = address.slice(0, -2);
    const spread = openGossipTask(
      { node, role: 'router', address, http: `${address}/http`, locality: 'a' },
      addresses.slice(0, 3),
      { change: () => undefined },
      openCounters(),
      surroundings,
    );
    void spread.start();
    const listener = ports.get(address);
    ports.set(address, (from, frame, envelope) => {
      counts.set(frame.type, (counts.get(frame.type) ?? 0) + 1);
      listener?.(from, frame, envelope);
    });
    return spread;
  });
  return { world, network, ports, spreads, counts, addresses };
};

test('twelve processes find each other from three seeds', async () => {
  const { world, spreads } = openGroup(1);
  await world.playUntil(3 * second);
  assert.equal(new Set(spreads.map((spread) => spread.view().partners.size)), new Set([11]));
});

test('a configuration and a list reach all nodes within 250 ms, and are sent in whole about once per node', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const { world, spreads, counts } = openGroup(seed);
    await world.playUntil(3 * second);
    spreads[5]?.offerSetup(recordAt(1));
    spreads[7]?.offerList(listOf(1, 50, initialServersAt(3, 0)));
    await world.playUntil(world.now() + 250_000);
    assert.equal(
      new Set(spreads.map((spread) => [spread.view().record?.revision, spread.view().list?.version].join())),
      new Set(['1,1']),
    );
    await world.playUntil(world.now() + 2 * second);
    assert.ok(
      (counts.get('setup') ?? 0) <= 15,
      `seed ${seed}: ${counts.get('setup')} whole configurations were sent to 11 processes`,
    );
    assert.ok((counts.get('list') ?? 0) <= 15, `seed ${seed}: ${counts.get('list')} whole lists were sent`);
  }
});

test('a configuration is routed around cut links, an older one is ignored, and a partition heals', async () => {
  const { world, network, ports, spreads, addresses } = openGroup(3);
  await world.playUntil(3 * second);
  for (const address of addresses.slice(1, 11)) network.cut(addresses[0] ?? '', address);
  spreads[0]?.offerSetup(recordAt(2));
  await world.playUntil(world.now() + 2 * second);
  assert.is(spreads[6]?.view().record?.revision, 2);
  ports.get(addresses[6] ?? '')?.(addresses[4] ?? '', { type: 'setup', record: recordAt(1) });
  assert.is(spreads[6]?.view().record?.revision, 2);
  network.heal();
  for (const left of addresses.slice(0, 6))
    for (const right of addresses.slice(6)) {
      network.cut(left, right);
      network.cut(right, left);
    }
  spreads[0]?.offerList(listOf(4, 50, []));
  await world.playUntil(world.now() + 2 * second);
  assert.equal(
    spreads.map((spread) => spread.view().list?.version),
    [4, 4, 4, 4, 4, 4, ...Array.from({ length: 6 }, () => undefined)],
  );
  network.heal();
  await world.playUntil(world.now() + second);
  assert.equal(new Set(spreads.map((spread) => spread.view().list?.version)), new Set([4]));
});

test('the bound of the platform time on each node is behind the true time by less than 10 ms, and never ahead', async () => {
  const { world, spreads } = openGroup(4);
  await world.playUntil(3 * second);
  const originUs = 900 * second;
  spreads[2]?.offerList(listOf(1, originUs + world.now(), []));
  await world.playUntil(world.now() + second);
  for (const spread of spreads) {
    const behindUs = originUs + world.now() - spread.platformUs();
    assert.ok(behindUs >= 0 && behindUs < 10_000, `${behindUs} us behind`);
  }
});

test.run();
