import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fleetScenario, fleetScenarios } from '../../src/sim/fleet/fleet-scenario.js';

test('a whole fleet breaks no rule under every fault, on fixed seeds', async () => {
  for (const seed of [1, 4, 56, 408]) {
    const run = await fleetScenario.play(seed);
    assert.equal(
      run.broken,
      [],
      `seed ${seed}: ledgehill rehearse --virtual fleet --seeds ${seed}\n${run.faults.join('\n')}`,
    );
    assert.ok((run.counts['complete'] ?? 0) > 1_000, `seed ${seed}: the fleet hardly served`);
  }
});

test('a router that is told to stop ends no call that still waits for its claim', async () => {
  const rolling = fleetScenarios.find((scenario) => scenario.name === 'rolling');
  assert.equal((await rolling?.play(4010))?.broken, []);
});

test.run();
