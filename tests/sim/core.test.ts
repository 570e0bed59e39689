import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { coreScenario } from '../../src/sim/core/core-scenario.js';

test('the core breaks no rule under kills, cuts, freezes, lost and stalled disks, on fixed seeds', async () => {
  for (const seed of [1, 2, 3, 5, 8, 9, 11, 686]) {
    const run = await coreScenario.play(seed);
    assert.equal(
      run.broken,
      [],
      `seed ${seed}: ledgehill rehearse --virtual core --seeds ${seed}\n${run.faults.join('\n')}`,
    );
    assert.ok((run.counts['taken'] ?? 0) > 10, `seed ${seed}: hardly anything was taken`);
    assert.ok((run.counts['claimsWon'] ?? 0) > 10, `seed ${seed}: hardly anything was claimed`);
  }
});

test('a seed plays the same twice', async () => {
  assert.equal(await coreScenario.play(21), await coreScenario.play(21));
});

test.run();
