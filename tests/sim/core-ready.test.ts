import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { readyFleet, second } from './small-fleet.js';

const stepUs = 1_000;
const stepsAfterStart = 3_000;

for (const seed of [1, 2, 3, 4])
  test(`a core machine that comes back is ready only with the configuration that was taken before, seed ${seed}`, async () => {
    const fleet = await readyFleet(seed, 1, 1);
    const { machines } = fleet.core;
    const taken = machines.map((machine) => machine.tasks()?.spread.view().record?.revision);
    assert.equal(taken, [1, 1, 1]);
    for (const machine of machines) machine.kill();
    await fleet.play(second);
    for (const machine of machines) machine.start();
    let readySteps = 0;
    for (let step = 0; step < stepsAfterStart; step += 1) {
      await fleet.play(stepUs);
      for (const machine of machines) {
        const tasks = machine.tasks();
        if (tasks === undefined || tasks.unready() !== undefined) continue;
        readySteps += 1;
        assert.is(tasks.spread.view().record?.revision, 1, `${machine.name} is ready without its configuration`);
      }
    }
    assert.ok(readySteps > stepsAfterStart, 'the machines were ready for most of the time');
  });

test.run();
