import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReadServer } from '../../src/servers/source/read-server.js';
import { openAskingGroup, type AskingGroup, type AskingNode } from './asking-group.js';

const second = 1_000_000;
const names = ['c1', 'c2', 'c3', 'r1', 'r2', 'r3', 'r4', 'r5', 'r6'];
const shown = (id: string, more: Partial<ReadServer> = {}): ReadServer => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  locality: 'a',
  state: 'up',
  ...more,
});
const callsSince = ({ platform }: AskingGroup, sinceUs: number) => platform.calls.filter(({ atUs }) => atUs >= sinceUs);
const askersSince = (group: AskingGroup, sinceUs: number) => [
  ...new Set(callsSince(group, sinceUs).map(({ who }) => who)),
];
const lastAsker = ({ platform, nodes }: AskingGroup): AskingNode | undefined =>
  nodes.find(({ name }) => name === platform.calls.at(-1)?.who);
const knowsLeaving = ({ lists }: AskingNode, id: string): boolean =>
  lists.at(-1)?.servers.find((server) => server.id === id)?.state === 'leaving';

const openQuiet = async (seed: number): Promise<AskingGroup> => {
  const group = openAskingGroup(seed, names);
  group.platform.servers = [shown('a'), shown('b')];
  await group.world.playUntil(5 * second);
  return group;
};

const leave = async (group: AskingGroup, nodes: readonly AskingNode[], withinUs: number): Promise<void> => {
  const shownUs = group.world.now();
  group.platform.servers = group.platform.servers.map((server) =>
    server.id === 'b' ? { ...server, state: 'leaving' } : server,
  );
  while (!nodes.every((node) => knowsLeaving(node, 'b')) && group.world.now() < shownUs + 10 * second)
    await group.world.playUntil(group.world.now() + 10_000);
  assert.ok(group.world.now() - shownUs <= withinUs, `known by all after ${group.world.now() - shownUs} us`);
};

test('one node of the fleet asks, all know, and an unchanged list is not sent again', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openQuiet(seed);
    const sinceUs = group.world.now();
    const sent = group.frames.get('list') ?? 0;
    await group.world.playUntil(sinceUs + 20 * second);
    assert.is(askersSince(group, sinceUs).length, 1, `seed ${seed}: ${askersSince(group, sinceUs).join()} ask`);
    assert.ok(askersSince(group, sinceUs)[0]?.startsWith('c'));
    const calls = callsSince(group, sinceUs).length;
    assert.ok(calls >= 30 && calls <= 41, `${calls} calls in 20 s`);
    assert.is((group.frames.get('list') ?? 0) - sent, 0);
    assert.is(new Set(group.nodes.map(({ spread }) => spread.view().list?.version)).size, 1);
    assert.ok(group.nodes.every(({ lists }) => lists.at(-1)?.servers.length === 2));
  }
});

test('a fleet that knows no time begins one line, and a node that comes later adopts it', async () => {
  const group = await openQuiet(2);
  const late = group.add('r9');
  await group.world.playUntil(group.world.now() + 2 * second);
  const times = group.nodes.map(({ spread }) => spread.platformUs());
  assert.ok(Math.min(...times) >= 1_000_000 * second && Math.max(...times) - Math.min(...times) < 20_000, times.join());
  assert.equal(late.lists.at(-1)?.servers, group.nodes[0]?.lists.at(-1)?.servers);
  assert.is(late.counters.read()['list.reads'] ?? 0, 0);
});

test('a server shown as leaving is known by all soon', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openQuiet(seed);
    await leave(group, group.nodes, second);
  }
});

test('an asker that is lost is followed by another, and by one', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openQuiet(seed);
    const lost = lastAsker(group);
    lost?.sim.kill();
    const others = group.nodes.filter((node) => node !== lost);
    await leave(group, others, 2 * second);
    await group.world.playUntil(group.world.now() + 5 * second);
    assert.is(askersSince(group, group.world.now() - 2 * second).length, 1);
  }
});

test('an asker that is frozen is followed by another, and wakes to what the others know', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openQuiet(seed);
    const calls = group.platform.calls.length;
    while (group.platform.calls.length === calls) await group.world.playUntil(group.world.now() + 1_000);
    const frozen = lastAsker(group);
    frozen?.sim.freeze();
    const others = group.nodes.filter((node) => node !== frozen);
    await leave(group, others, 2 * second);
    group.platform.servers = [...group.platform.servers, shown('n')];
    await group.world.playUntil(group.world.now() + 5 * second);
    frozen?.sim.wake();
    await group.world.playUntil(group.world.now() + 3 * second);
    assert.ok(group.nodes.every((node) => knowsLeaving(node, 'b')));
    assert.ok(
      group.nodes.every(({ lists }) => lists.at(-1)?.servers.some(({ id }) => id === 'n')),
      'what the frozen one had asked for proves nothing gone',
    );
    assert.is(askersSince(group, group.world.now() - second).length, 1);
  }
});

test('an asker that the platform no longer hears is followed by another', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openQuiet(seed);
    group.platform.deaf.add(lastAsker(group)?.name ?? '');
    await leave(group, group.nodes, 2 * second);
    assert.ok(group.nodes.some(({ counters }) => (counters.read()['list.read.unreachable'] ?? 0) > 0));
  }
});

test('each side of a cut asks for itself, and after it one gives way', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openQuiet(seed);
    const isLeft = ({ name }: AskingNode): boolean => ['c1', 'c2', 'r1', 'r2'].includes(name);
    for (const left of group.nodes.filter(isLeft))
      for (const right of group.nodes.filter((node) => !isLeft(node))) {
        group.network.cut(left.address, right.address);
        group.network.cut(right.address, left.address);
      }
    await leave(group, group.nodes, 2 * second);
    await group.world.playUntil(group.world.now() + 5 * second);
    assert.is(askersSince(group, group.world.now() - 2 * second).length, 2);
    group.network.heal();
    await group.world.playUntil(group.world.now() + 3 * second);
    assert.is(askersSince(group, group.world.now() - 2 * second).length, 1, `seed ${seed}`);
    assert.is(new Set(group.nodes.map(({ spread }) => JSON.stringify(spread.view().list?.servers))).size, 1);
  }
});

test('a refusal for rate is counted, leaves the list standing, and makes nodes ask less', async () => {
  const group = await openQuiet(5);
  group.platform.refuses = true;
  const sinceUs = group.world.now();
  await group.world.playUntil(sinceUs + 20 * second);
  for (const { name, lists } of group.nodes) {
    assert.is(lists.at(-1)?.servers.length, 2);
    const calls = callsSince(group, sinceUs).filter(({ who }) => who === name);
    assert.ok(calls.length <= 10, `${name} asked ${calls.length} times`);
    calls.forEach(({ atUs }, index) => assert.ok(index === 0 || atUs - (calls[index - 1]?.atUs ?? 0) >= 499_000));
  }
  assert.ok(group.nodes.some(({ counters }) => (counters.read()['list.read.over-rate'] ?? 0) > 0));
  group.platform.refuses = false;
  await leave(group, group.nodes, 6 * second);
});

test('a reading with missing pages is counted and takes nobody off the list', async () => {
  const group = await openQuiet(6);
  group.platform.whole = false;
  group.platform.servers = [shown('a'), shown('n')];
  await group.world.playUntil(group.world.now() + 3 * second);
  assert.ok(
    group.nodes.every(
      ({ lists }) =>
        lists
          .at(-1)
          ?.servers.map(({ id }) => id)
          .join() === 'a,b,n',
    ),
  );
  assert.ok(group.nodes.some(({ counters }) => (counters.read()['list.read.incomplete'] ?? 0) > 0));
  group.platform.whole = true;
  await group.world.playUntil(group.world.now() + 3 * second);
  assert.ok(
    group.nodes.every(
      ({ lists }) =>
        lists
          .at(-1)
          ?.servers.map(({ id }) => id)
          .join() === 'a,n',
    ),
  );
});

test.run();
