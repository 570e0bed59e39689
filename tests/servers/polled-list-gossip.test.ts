import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { polledListOf } from '../../src/servers/list/merge-lists.js';
import type { ServerList } from '../../src/servers/list/server-list.js';
import type { GossipEffect } from '../../src/spread/machine/gossip-effect.js';
import type { GossipEvent } from '../../src/spread/machine/gossip-event.js';
import { initialGossipView, type GossipView } from '../../src/spread/machine/gossip-view.js';
import { stepGossip } from '../../src/spread/machine/step.js';
import { isFrame } from '../../src/spread/frame/frame-guard.js';
import { listOf, serverOf } from '../decision/fixtures.js';
import { randomLists } from './random-lists.js';

const startUs = 1_000_000_000_000;

/** Gossip state machines whose frames are delivered immediately and in order. */
const openMachines = (count: number) => {
  const addresses = Array.from({ length: count }, (_, index) => `n${index}:1`);
  const views = new Map<string, GossipView>(
    addresses.map((address) => [
      address,
      initialGossipView({ node: address, role: 'router', address, http: address, locality: 'a' }, addresses),
    ]),
  );
  const effects: GossipEffect[] = [];
  let atUs = 0;
  let isCut = false;
  const deliver = (address: string, event: GossipEvent): void => {
    const view = views.get(address);
    if (view === undefined) return;
    const step = stepGossip(view, event);
    views.set(address, step.view);
    for (const effect of step.effects) {
      effects.push(effect);
      if (effect.type === 'send') {
        assert.ok(isFrame(JSON.parse(JSON.stringify(effect.frame))), effect.frame.type);
        if (!isCut) deliver(effect.address, { type: 'frame', at: atUs, from: address, frame: effect.frame });
      }
    }
  };
  return {
    effects,
    listAt: (index: number): ServerList | undefined => views.get(addresses[index] ?? '')?.list,
    cut: () => {
      isCut = true;
    },
    heal: () => {
      isCut = false;
    },
    read: (index: number, ids: readonly string[]) =>
      deliver(addresses[index] ?? '', {
        type: 'reading',
        at: atUs,
        begunAt: atUs,
        reading: {
          whole: true,
          servers: ids.map((id) => ({ id, service: 'model', address: '10.0.0.1:80', locality: 'a', state: 'up' })),
        },
      }),
    offer: (index: number, list: ServerList) => deliver(addresses[index] ?? '', { type: 'list', at: atUs, list }),
    refresh: (index: number) => deliver(addresses[index] ?? '', { type: 'refresh', at: atUs }),
    play: (ticks: number) => {
      for (let tick = 0; tick < ticks; tick += 1) {
        atUs += 200_000;
        for (const address of addresses) deliver(address, { type: 'tick', at: atUs });
      }
    },
  };
};

test('two lists of the same version with different content are detected and merged', () => {
  const machines = openMachines(2);
  const left = polledListOf([serverOf('sa', startUs)], startUs);
  const right = polledListOf([serverOf('sb', startUs)], startUs);
  assert.is(left.version, right.version);
  machines.cut();
  machines.offer(0, left);
  machines.offer(1, right);
  machines.heal();
  machines.play(3);
  for (const index of [0, 1])
    assert.equal(
      machines.listAt(index)?.servers.map(({ id }) => id),
      ['sa', 'sb'],
    );
});

test('lists that are offered to any node in any order converge to one list on all nodes', () => {
  for (let seed = 1; seed <= 100; seed += 1) {
    const machines = openMachines(4);
    randomLists(seed, 8).forEach((list, index) => {
      machines.offer(index % 4, list);
      if (index % 3 === 0) machines.play(1);
    });
    machines.play(6);
    assert.is(
      new Set([0, 1, 2, 3].map((index) => JSON.stringify(machines.listAt(index)?.servers))).size,
      1,
      `seed ${seed}`,
    );
  }
});

test('a node that has the previous list is sent only the difference', () => {
  const machines = openMachines(3);
  const servers = Array.from({ length: 20 }, (_, index) => serverOf(`s${index}`, startUs));
  machines.offer(0, polledListOf(servers, startUs));
  machines.play(2);
  machines.effects.length = 0;
  machines.offer(
    0,
    polledListOf([serverOf('s3', startUs, { state: 'leaving', leavingAtUs: startUs + 1_000 })], startUs + 1_000),
  );
  machines.play(2);
  const sent = machines.effects.flatMap((effect) =>
    effect.type === 'send' && effect.frame.type === 'list' ? [effect.frame.list.servers.length] : [],
  );
  assert.equal(sent, [1, 1]);
  for (const index of [1, 2]) {
    assert.is(machines.listAt(index)?.servers.length, 20);
    assert.is(machines.listAt(index)?.servers.find(({ id }) => id === 's3')?.state, 'leaving');
  }
});

test('a pushed list replaces a polled one, without a merge', () => {
  const machines = openMachines(3);
  machines.offer(0, polledListOf([serverOf('sa', startUs)], startUs));
  machines.play(2);
  machines.offer(1, listOf(1, startUs, [serverOf('sb', startUs)]));
  machines.play(3);
  machines.offer(0, polledListOf([serverOf('sc', startUs)], startUs));
  machines.play(3);
  for (const index of [0, 1, 2])
    assert.equal(
      machines.listAt(index)?.servers.map(({ id }) => id),
      ['sb'],
    );
});

test('a refresh completes only once the node has the same list as a peer', () => {
  const machines = openMachines(2);
  machines.offer(0, polledListOf([serverOf('sa', startUs, { state: 'leaving', leavingAtUs: startUs })], startUs));
  machines.play(2);
  machines.effects.length = 0;
  machines.refresh(1);
  machines.play(1);
  assert.is(machines.effects.filter(({ type }) => type === 'refreshed').length, 1);
});

test('a poller reports its own reading while it is fresh, even if a peer has a later one', () => {
  const machines = openMachines(2);
  machines.read(0, ['sa']);
  machines.play(1);
  machines.read(1, ['sa']);
  machines.play(1);
  machines.effects.length = 0;
  machines.play(1);
  const reporters = machines.effects.flatMap((effect) =>
    effect.type === 'send' && effect.frame.type === 'digest' ? [effect.frame.read?.by] : [],
  );
  assert.equal(reporters, ['router/n0:1', 'router/n1:1']);
});

test.run();
