import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openCoreFleet } from '../../src/sim/core/core-fleet.js';

const second = 1_000_000;

test('three empty machines found one core, whoever is first, and elect a leader', async () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const fleet = openCoreFleet(seed);
    fleet.network.lossy(seed % 3 === 0 ? 0.2 : 0);
    await fleet.playFor(8 * second);
    const leader = fleet.leader();
    assert.ok(leader, `seed ${seed}: no leader`);
    const followers = fleet.machines.filter((machine) => machine.replica().leader === leader?.replica().identity);
    assert.is(followers.length, 3, `seed ${seed}: only ${followers.length} follow`);
  }
});

test.run();
