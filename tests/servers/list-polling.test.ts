import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PolledServer } from '../../src/servers/source/polled-server.js';
import { openPollingGroup, type PollingGroup, type PollingNode } from './polling-group.js';

const second = 1_000_000;
const names = ['c1', 'c2', 'c3', 'r1', 'r2', 'r3', 'r4', 'r5', 'r6'];
const serverWith = (id: string, more: Partial<PolledServer> = {}): PolledServer => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  locality: 'a',
  state: 'up',
  ...more,
});
const pollsSince = ({ platform }: PollingGroup, sinceUs: number) =>
  platform.calls.filter(({ atUs }) => atUs >= sinceUs);
const pollersSince = (group: PollingGroup, sinceUs: number) => [
  ...new Set(pollsSince(group, sinceUs).map(({ who }) => who)),
];
const lastPoller = ({ platform, nodes }: PollingGroup): PollingNode | undefined =>
  nodes.find(({ name }) => name === platform.calls.at(-1)?.who);
const hasLeaving = ({ lists }: PollingNode, id: string): boolean =>
  lists.at(-1)?.servers.find((server) => server.id === id)?.state === 'leaving';

const openSettledGroup = async (seed: number): Promise<PollingGroup> => {
  const group = openPollingGroup(seed, names);
  group.platform.servers = [serverWith('a'), serverWith('b')];
  await group.world.playUntil(5 * second);
  return group;
};

const markLeaving = async (group: PollingGroup, nodes: readonly PollingNode[], withinUs: number): Promise<void> => {
  const markedUs = group.world.now();
  group.platform.servers = group.platform.servers.map((server) =>
    server.id === 'b' ? { ...server, state: 'leaving' } : server,
  );
  while (!nodes.every((node) => hasLeaving(node, 'b')) && group.world.now() < markedUs + 10 * second)
    await group.world.playUntil(group.world.now() + 10_000);
  assert.ok(group.world.now() - markedUs <= withinUs, `known to all nodes after ${group.world.now() - markedUs} us`);
};

test('only one node polls, every node gets the list, and an unchanged list is not sent again', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openSettledGroup(seed);
    const sinceUs = group.world.now();
    const sent = group.frames.get('list') ?? 0;
    await group.world.playUntil(sinceUs + 20 * second);
    assert.is(pollersSince(group, sinceUs).length, 1, `seed ${seed}: pollers ${pollersSince(group, sinceUs).join()}`);
    assert.ok(pollersSince(group, sinceUs)[0]?.startsWith('c'));
    const polls = pollsSince(group, sinceUs).length;
    assert.ok(polls >= 30 && polls <= 41, `${polls} polls in 20 s`);
    assert.is((group.frames.get('list') ?? 0) - sent, 0);
    assert.is(new Set(group.nodes.map(({ spread }) => spread.view().list?.version)).size, 1);
    assert.ok(group.nodes.every(({ lists }) => lists.at(-1)?.servers.length === 2));
  }
});

test('a new fleet starts its own clock, and a node that joins later adopts it', async () => {
  const group = await openSettledGroup(2);
  const late = group.add('r9');
  await group.world.playUntil(group.world.now() + 2 * second);
  const times = group.nodes.map(({ spread }) => spread.platformUs());
  assert.ok(Math.min(...times) >= 1_000_000 * second && Math.max(...times) - Math.min(...times) < 20_000, times.join());
  assert.equal(late.lists.at(-1)?.servers, group.nodes[0]?.lists.at(-1)?.servers);
  assert.is(late.counters.read()['list.reads'] ?? 0, 0);
});

test('every node learns within a second that a server is leaving', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openSettledGroup(seed);
    await markLeaving(group, group.nodes, second);
  }
});

test('exactly one node takes over from a crashed poller', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openSettledGroup(seed);
    const crashed = lastPoller(group);
    crashed?.sim.kill();
    const others = group.nodes.filter((node) => node !== crashed);
    await markLeaving(group, others, 2 * second);
    await group.world.playUntil(group.world.now() + 5 * second);
    assert.is(pollersSince(group, group.world.now() - 2 * second).length, 1);
  }
});

test('another node takes over from a frozen poller, which adopts the current list when it resumes', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openSettledGroup(seed);
    const polls = group.platform.calls.length;
    while (group.platform.calls.length === polls) await group.world.playUntil(group.world.now() + 1_000);
    const frozen = lastPoller(group);
    frozen?.sim.freeze();
    const others = group.nodes.filter((node) => node !== frozen);
    await markLeaving(group, others, 2 * second);
    group.platform.servers = [...group.platform.servers, serverWith('n')];
    await group.world.playUntil(group.world.now() + 5 * second);
    frozen?.sim.wake();
    await group.world.playUntil(group.world.now() + 3 * second);
    assert.ok(group.nodes.every((node) => hasLeaving(node, 'b')));
    assert.ok(
      group.nodes.every(({ lists }) => lists.at(-1)?.servers.some(({ id }) => id === 'n')),
      'the late reading of the frozen node removes no server',
    );
    assert.is(pollersSince(group, group.world.now() - second).length, 1);
  }
});

test('another node takes over from a poller that cannot reach the platform', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openSettledGroup(seed);
    group.platform.cutOffNodes.add(lastPoller(group)?.name ?? '');
    await markLeaving(group, group.nodes, 2 * second);
    assert.ok(group.nodes.some(({ counters }) => (counters.read()['list.read.unreachable'] ?? 0) > 0));
  }
});

test('each side of a partition has its own poller, and one steps down after it heals', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await openSettledGroup(seed);
    const isOnLeftSide = ({ name }: PollingNode): boolean => ['c1', 'c2', 'r1', 'r2'].includes(name);
    for (const left of group.nodes.filter(isOnLeftSide))
      for (const right of group.nodes.filter((node) => !isOnLeftSide(node))) {
        group.network.cut(left.address, right.address);
        group.network.cut(right.address, left.address);
      }
    await markLeaving(group, group.nodes, 2 * second);
    await group.world.playUntil(group.world.now() + 5 * second);
    assert.is(pollersSince(group, group.world.now() - 2 * second).length, 2);
    group.network.heal();
    await group.world.playUntil(group.world.now() + 3 * second);
    assert.is(pollersSince(group, group.world.now() - 2 * second).length, 1, `seed ${seed}`);
    assert.is(new Set(group.nodes.map(({ spread }) => JSON.stringify(spread.view().list?.servers))).size, 1);
  }
});

test('a rate limit error is counted, leaves the list unchanged, and makes nodes back off', async () => {
  const group = await openSettledGroup(5);
  group.platform.rejectsPolls = true;
  const sinceUs = group.world.now();
  await group.world.playUntil(sinceUs + 20 * second);
  for (const { name, lists } of group.nodes) {
    assert.is(lists.at(-1)?.servers.length, 2);
    const polls = pollsSince(group, sinceUs).filter(({ who }) => who === name);
    assert.ok(polls.length <= 10, `${name} polled ${polls.length} times`);
    polls.forEach(({ atUs }, index) => assert.ok(index === 0 || atUs - (polls[index - 1]?.atUs ?? 0) >= 499_000));
  }
  assert.ok(group.nodes.some(({ counters }) => (counters.read()['list.read.over-rate'] ?? 0) > 0));
  group.platform.rejectsPolls = false;
  await markLeaving(group, group.nodes, 6 * second);
});

test('an incomplete reading is counted and removes no server', async () => {
  const group = await openSettledGroup(6);
  group.platform.whole = false;
  group.platform.servers = [serverWith('a'), serverWith('n')];
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
