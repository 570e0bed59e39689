import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Micros } from '../../src/common/micros.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import type { SpreadFrame } from '../../src/spread/machine/spread-event.js';
import type { Partner } from '../../src/spread/partner/partner.js';
import { openMany, type Many } from './many.js';

/**
 * Routers with a sixth of a core, four fifths of which go to requests: a millisecond of processor time takes thirty of
 * theirs. A core machine has a core and a half to itself.
 */
const routerShare = 0.167 * 0.2;
const controlShare = 1.6;
/** Processor time for a frame, and for one that brings a configuration of 1,400 routes, as measured on a cold process. */
const frameCpuUs: Micros = 300;
const largeConfigurationCpuUs: Micros = 60_000;
/** The time in which a change that was acknowledged must be in force everywhere. */
const applyUs: Micros = 2_500_000;

const frameCostUs = ({ role }: Partner, { type }: SpreadFrame): Micros => {
  const cpuUs = type === 'setup' || type === 'setup-delta' ? largeConfigurationCpuUs : frameCpuUs;
  return Math.round(cpuUs / (role === 'control' ? controlShare : routerShare));
};

/** The same for routers that have no requests yet. */
const idleShare = 0.167;

const startCostUs = ({ role }: Partner, { type }: SpreadFrame): Micros => {
  const cpuUs = type === 'setup' || type === 'setup-delta' ? largeConfigurationCpuUs : frameCpuUs;
  return Math.round(cpuUs / (role === 'control' ? controlShare : idleShare));
};

const record: SetupRecord = { revision: 1, takenAtUs: 0, setup: sampleSetup('large'), epochs: [] };

const openGrown = (seed: number): Many => {
  const many = openMany({ seed, routers: 80, controls: 5, localities: 4, regions: 1, frameCostUs });
  many.startAcquainted();
  many.play(3_000_000);
  return many;
};

/** The core commits: its leader learns of it first, the others with its next heartbeat. */
const commit = (many: Many): void => {
  const controls = many.nodes.filter(({ view }) => view.self.role === 'control');
  controls.forEach((node, place) => {
    if (place === 1) many.play(100_000);
    if (node.isUp) many.offer(node, { type: 'setup', at: many.now(), record });
  });
};

for (const seed of [1, 2, 3, 4, 5, 6])
  test(`a large change is in force on eighty busy routers in time, seed ${seed}`, () => {
    const many = openGrown(seed);
    commit(many);
    const tookUs = many.until(({ view }) => view.record?.revision === 1, 20_000_000, 50_000);
    assert.ok(tookUs !== undefined && tookUs + 100_000 < applyUs, `it took ${tookUs} us`);
  });

test('a large change is in force in time with two of the five core machines dead', () => {
  const many = openGrown(9);
  for (const node of many.nodes.filter(({ view }) => view.self.role === 'control').slice(3)) many.kill(node);
  many.play(500_000);
  commit(many);
  const tookUs = many.until(({ view }) => view.record?.revision === 1, 20_000_000, 50_000);
  assert.ok(tookUs !== undefined, 'it never came everywhere');
  assert.ok(tookUs < 2 * applyUs, `it took ${tookUs} us`);
});

/** The time in which service must be back after all processes have begun again, and what of it the start may take. */
const healUs: Micros = 15_000_000;
const spreadShare = 0.5;

for (const seed of [1, 2, 3])
  test(`eighty routers that all begin at once have the core's configuration in half the time to heal, seed ${seed}`, () => {
    const many = openMany({ seed, routers: 80, controls: 5, localities: 4, regions: 1, frameCostUs: startCostUs });
    for (const node of many.nodes) many.start(node);
    for (const node of many.nodes)
      if (node.view.self.role === 'control') many.offer(node, { type: 'setup', at: many.now(), record });
    const tookUs = many.until(({ view }) => view.record?.revision === 1, 30_000_000, 50_000);
    assert.ok(tookUs !== undefined && tookUs < healUs * spreadShare, `it took ${tookUs} us`);
  });

test.run();
