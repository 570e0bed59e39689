import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setupDigestOf } from '../../src/setup/document/setup-digest.js';
import { openCoreFleet } from '../../src/sim/core/core-fleet.js';
import { simOperatorService } from '../../src/sim/core/sim-operator-service.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import { readyFleet, second, type SmallFleet } from './small-fleet.js';

const loseAll = (fleet: SmallFleet): void => {
  for (const machine of fleet.core.machines) machine.loseDisk();
  for (const machine of fleet.core.machines) machine.start();
};

const shown = (fleet: SmallFleet): readonly (string | undefined)[] =>
  fleet.routers.map((router) => {
    const record = router.tasks()?.spread.view().record;
    return record === undefined ? undefined : `${record.revision} ${record.setup.name}`;
  });

test('a core that lost all its disks takes up the newest setup that the nodes hold, and goes on from there', async () => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const fleet = await readyFleet(seed, 3, 3, sampleSetup('one', 3));
    void fleet.put(sampleSetup('two', 3));
    await fleet.play(2 * second);
    assert.equal(shown(fleet), ['2 two', '2 two', '2 two']);
    loseAll(fleet);
    await fleet.play(10 * second);
    const read = simOperatorService(fleet.core).read();
    await fleet.play(second);
    const word = await read;
    assert.ok(
      word.type === 'record' &&
        word.record.revision === 2 &&
        setupDigestOf(word.record.setup) === setupDigestOf(sampleSetup('two', 3)),
      `seed ${seed}: ${word.type}`,
    );
    void fleet.put(sampleSetup('three', 3));
    await fleet.play(2 * second);
    assert.equal(shown(fleet), ['3 three', '3 three', '3 three'], `seed ${seed}`);
  }
});

test('a setup that the new core took before it heard of the nodes is not replaced by their older one', async () => {
  const fleet = await readyFleet(7, 3, 3, sampleSetup('one', 3));
  for (const name of ['two', 'three']) {
    void fleet.put(sampleSetup(name, 3));
    await fleet.play(2 * second);
  }
  for (const machine of fleet.core.machines)
    for (const router of fleet.routers) {
      fleet.network.cut(machine.address(), router.address);
      fleet.network.cut(router.address, machine.address());
    }
  loseAll(fleet);
  await fleet.play(5 * second);
  const desk = simOperatorService(fleet.core);
  const put = desk.put(sampleSetup('fresh', 3), 'put-fresh', 0);
  await fleet.play(2 * second);
  const word = await put;
  assert.ok(word.type === 'decided' && word.outcome.type === 'committed');
  fleet.network.heal();
  await fleet.play(3 * second);
  assert.equal(shown(fleet), ['4 fresh', '4 fresh', '4 fresh']);
});

test('a core is founded although one machine loses its disk at any moment of the founding', async () => {
  for (let seed = 1; seed <= 30; seed += 1) {
    const fleet = openCoreFleet(seed);
    const lost = fleet.machines[seed % 3];
    fleet.world.after(40_000 * seed, () => {
      lost?.loseDisk();
      fleet.world.after(100_000, () => lost?.start());
    });
    await fleet.playFor(15 * second);
    const put = simOperatorService(fleet).put(sampleSetup('first'), 'put-first', 0);
    await fleet.playFor(5 * second);
    const word = await put;
    assert.ok(word.type === 'decided' && word.outcome.type === 'committed', `seed ${seed}: ${word.type}`);
    assert.equal(fleet.rules.broken(), [], `seed ${seed}`);
  }
});

test.run();
