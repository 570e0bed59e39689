import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Micros } from '../../src/common/micros.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import type { GossipFrame } from '../../src/spread/machine/gossip-event.js';
import type { Peer } from '../../src/spread/peer/peer.js';
import { openCluster, type Cluster } from './cluster.js';

/**
 * The processor share that is left for gossip. Routers have a sixth of a core and use four fifths of it for requests, so
 * one millisecond of processor time takes them thirty. A control node has more than a core and a half to itself.
 */
const routerShare = 0.167 * 0.2;
const controlShare = 1.6;
/** Processor time for a frame, and for one with a configuration of 1,400 routes, in a newly started process. */
const frameCpuUs: Micros = 300;
const largeConfigurationCpuUs: Micros = 60_000;
/** The time in which an acknowledged change must be in force on all nodes. */
const applyUs: Micros = 2_500_000;

const frameCostUs = ({ role }: Peer, { type }: GossipFrame): Micros => {
  const cpuUs = type === 'setup' || type === 'setup-delta' ? largeConfigurationCpuUs : frameCpuUs;
  return Math.round(cpuUs / (role === 'control' ? controlShare : routerShare));
};

/** The share of routers that have no requests yet. */
const idleRouterShare = 0.167;

const idleFrameCostUs = ({ role }: Peer, { type }: GossipFrame): Micros => {
  const cpuUs = type === 'setup' || type === 'setup-delta' ? largeConfigurationCpuUs : frameCpuUs;
  return Math.round(cpuUs / (role === 'control' ? controlShare : idleRouterShare));
};

const record: SetupRecord = { revision: 1, takenAtUs: 0, setup: sampleSetup('large'), epochs: [] };

const openConverged = (seed: number): Cluster => {
  const cluster = openCluster({ seed, routers: 80, controls: 5, localities: 4, regions: 1, frameCostUs });
  cluster.startConverged();
  cluster.play(3_000_000);
  return cluster;
};

/** Commits a configuration: the leader offers it first, the other control nodes 100 ms later with its next heartbeat. */
const commit = (cluster: Cluster): void => {
  const controls = cluster.nodes.filter(({ view }) => view.self.role === 'control');
  controls.forEach((node, index) => {
    if (index === 1) cluster.play(100_000);
    if (node.isUp) cluster.offer(node, { type: 'setup', at: cluster.now(), record });
  });
};

for (const seed of [1, 2, 3, 4, 5, 6])
  test(`a large configuration is in force on eighty busy routers in time, seed ${seed}`, () => {
    const cluster = openConverged(seed);
    commit(cluster);
    const tookUs = cluster.timeUntil(({ view }) => view.record?.revision === 1, 20_000_000, 50_000);
    assert.ok(tookUs !== undefined && tookUs + 100_000 < applyUs, `it took ${tookUs} us`);
  });

test('a large configuration is in force within twice the time when two of the five control nodes are dead', () => {
  const cluster = openConverged(9);
  for (const node of cluster.nodes.filter(({ view }) => view.self.role === 'control').slice(3)) cluster.kill(node);
  cluster.play(500_000);
  commit(cluster);
  const tookUs = cluster.timeUntil(({ view }) => view.record?.revision === 1, 20_000_000, 50_000);
  assert.ok(tookUs !== undefined, 'the configuration did not reach all nodes');
  assert.ok(tookUs < 2 * applyUs, `it took ${tookUs} us`);
});

/** The time in which service must be restored after a restart of all processes, and the share of it for gossip. */
const healUs: Micros = 15_000_000;
const gossipShare = 0.5;

for (const seed of [1, 2, 3])
  test(`eighty routers that start at once have the configuration within half the recovery time, seed ${seed}`, () => {
    const cluster = openCluster({
      seed,
      routers: 80,
      controls: 5,
      localities: 4,
      regions: 1,
      frameCostUs: idleFrameCostUs,
    });
    for (const node of cluster.nodes) cluster.start(node);
    for (const node of cluster.nodes)
      if (node.view.self.role === 'control') cluster.offer(node, { type: 'setup', at: cluster.now(), record });
    const tookUs = cluster.timeUntil(({ view }) => view.record?.revision === 1, 30_000_000, 50_000);
    assert.ok(tookUs !== undefined && tookUs < healUs * gossipShare, `it took ${tookUs} us`);
  });

test.run();
