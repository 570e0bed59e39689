import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import type { PolledServer } from '../../src/servers/source/polled-server.js';
import { liveRouterCount } from '../../src/spread/machine/membership.js';
import { openCluster, type Cluster, type ClusterNode } from './cluster.js';

const second = 1_000_000;
const eightyNodes = { seed: 1, routers: 77, controls: 3, localities: 4, regions: 1 };
/** The limit for a router among eighty while nothing changes; each frame wakes up its sender and its receiver. */
const maxFramesPerSecond = 9;
const plannedSize = { seed: 2, routers: 400, controls: 21, localities: 11, regions: 5 };

const recordAt = (revision: number): SetupRecord => ({
  revision,
  takenAtUs: 0,
  setup: sampleSetup(`setup-${revision}`),
  epochs: [],
});

const nodeAt = (cluster: Cluster, index: number): ClusterNode => {
  const node = cluster.nodes[index];
  if (node === undefined) throw new Error(`the cluster has no node ${index}`);
  return node;
};

const offerSetup = (cluster: Cluster, index: number, revision: number): void =>
  cluster.offer(nodeAt(cluster, index), { type: 'setup', at: cluster.now(), record: recordAt(revision) });

const hasSetup =
  (revision: number) =>
  (node: ClusterNode): boolean =>
    node.view.record?.revision === revision;

const knowsAllLive =
  (cluster: Cluster) =>
  (node: ClusterNode): boolean =>
    node.view.partners.size === cluster.liveNodes().length - 1;

const applyPoll = (cluster: Cluster, index: number, leaving: string | undefined): void => {
  const servers = Array.from({ length: 40 }, (_, server): PolledServer => ({
    id: `s${server}`,
    service: 'model',
    address: `10.1.0.${server}:80`,
    locality: 'a',
    state: `s${server}` === leaving ? 'leaving' : 'up',
  }));
  cluster.offer(nodeAt(cluster, index), {
    type: 'reading',
    at: cluster.now(),
    begunAt: cluster.now() - 100_000,
    reading: { whole: true, servers },
  });
};

const assertWithin = (tookUs: number | undefined, limitUs: number, what: string): void =>
  assert.ok(tookUs !== undefined && tookUs <= limitUs, `${what} took ${tookUs} us`);

test('eighty nodes that start at once find each other, and then each sends less than 2,000 bytes per second', () => {
  const cluster = openCluster(eightyNodes);
  for (const node of cluster.nodes) cluster.start(node);
  assertWithin(cluster.timeUntil(knowsAllLive(cluster), 10 * second), 6 * second, 'discovery of all nodes');
  cluster.play(15 * second);
  cluster.resetCounts();
  cluster.play(10 * second);
  for (const node of cluster.nodes)
    assert.ok(node.sentBytes < 2_000 * 10, `${node.address} sent ${node.sentBytes} bytes in ten seconds`);
  assert.is(cluster.falsePositives.length, 0);
});

test('a configuration and a leaving server reach eighty nodes within a second, and readings within 1.2 s, with a tenth dead', () => {
  const cluster = openCluster(eightyNodes);
  cluster.startConverged();
  cluster.play(second);
  applyPoll(cluster, 1, undefined);
  cluster.play(second);
  for (const node of cluster.nodes.filter((_, index) => index % 10 === 5)) cluster.kill(node);
  offerSetup(cluster, 0, 1);
  assertWithin(cluster.timeUntil(hasSetup(1), 3 * second, 10_000), second, 'a configuration');
  applyPoll(cluster, 1, 's3');
  assertWithin(
    cluster.timeUntil(
      (node) => node.view.list?.servers.find(({ id }) => id === 's3')?.state === 'leaving',
      3 * second,
      10_000,
    ),
    second,
    'a leaving server',
  );
  let maxAgeUs = 0;
  for (let reading = 0; reading < 16; reading += 1) {
    applyPoll(cluster, 1, 's3');
    cluster.play(second / 2);
    for (const { view } of cluster.liveNodes())
      if (view.platform !== undefined && view.read !== undefined)
        maxAgeUs = Math.max(maxAgeUs, view.platform.reachedUs + (cluster.now() - view.platform.atUs) - view.read.atUs);
  }
  assert.ok(maxAgeUs < 1_200_000, `the latest reading on some node was ${maxAgeUs} us old`);
  assertWithin(cluster.timeUntil(knowsAllLive(cluster), 15 * second), 10 * second, 'declaring the dead nodes dead');
  assert.is(cluster.falsePositives.length, 0);
});

test('while the list is polled twice a second, eighty routers send on average less than nine frames per second each', () => {
  const cluster = openCluster({ ...eightyNodes, controls: 5 });
  cluster.startConverged();
  cluster.play(5 * second);
  applyPoll(cluster, 1, undefined);
  cluster.play(second);
  cluster.resetCounts();
  const seconds = 10;
  for (let reading = 0; reading < 2 * seconds; reading += 1) {
    applyPoll(cluster, 1, undefined);
    cluster.play(second / 2);
  }
  const routers = cluster.nodes.filter(({ view }) => view.self.role === 'router');
  const mean = routers.reduce((sum, { sentFrames }) => sum + sentFrames, 0) / routers.length / seconds;
  assert.ok(mean < maxFramesPerSecond, `${mean} frames per second`);
  for (const { view } of routers)
    assert.ok(view.read !== undefined && view.platform !== undefined, 'a router has no reading stamp');
});

test('with a tenth of all frames lost, no live node is declared dead', () => {
  const cluster = openCluster({ ...eightyNodes, lossShare: 0.1 });
  cluster.startConverged();
  cluster.play(30 * second);
  assert.is(cluster.falsePositives.length, 0);
});

test('at the planned size a configuration is in force within two seconds with a tenth dead, and restarted nodes rejoin', () => {
  const cluster = openCluster(plannedSize);
  cluster.startConverged();
  cluster.play(2 * second);
  const dead = cluster.nodes.filter((_, index) => index % 10 === 5);
  dead.forEach(cluster.kill);
  offerSetup(cluster, 0, 1);
  assertWithin(cluster.timeUntil(hasSetup(1), 5 * second), 2 * second, 'a configuration');
  assertWithin(
    cluster.timeUntil(knowsAllLive(cluster), 20 * second, 200_000),
    15 * second,
    'declaring the dead nodes dead',
  );
  for (const node of dead) cluster.start(node);
  assertWithin(cluster.timeUntil(hasSetup(1), 5 * second), 2 * second, 'a configuration on the restarted nodes');
  assertWithin(
    cluster.timeUntil(knowsAllLive(cluster), 20 * second, 200_000),
    10 * second,
    'rejoining of the restarted nodes',
  );
  assert.equal(new Set(cluster.liveNodes().map(({ view }) => liveRouterCount(view))), new Set([400]));
  assert.is(cluster.falsePositives.length, 0);
});

test.run();
