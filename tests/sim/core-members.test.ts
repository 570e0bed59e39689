import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { votersOf } from '../../src/control/machine/log-queries.js';
import { openCoreFleet, type AskedCore } from '../../src/sim/core/core-fleet.js';
import { simOperatorService } from '../../src/sim/core/sim-operator-service.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const second = 1_000_000;

const votersNow = (fleet: AskedCore): readonly string[] => {
  const view = fleet.leader()?.replica();
  return view === undefined
    ? []
    : votersOf(view)
        .map((member) => member.address)
        .sort();
};

const addressesOf = (fleet: AskedCore): readonly string[] => fleet.machines.map((machine) => machine.address()).sort();

const put = async (fleet: AskedCore, version: number, expectedVersion: number): Promise<string> => {
  const word = simOperatorService(fleet).putOriginal({
    setup: sampleSetup('first'),
    original: { version, text: `document ${version}` },
    expectedVersion,
  });
  await fleet.playFor(4 * second);
  const told = await word;
  return told.type === 'decided' ? told.outcome.type : told.type;
};

/** As operators do, it sends the same again, to any machine, until there is a definite reply. */
const putAgain = async (fleet: AskedCore, version: number, expectedVersion: number, tries = 4): Promise<string> => {
  const outcome = await put(fleet, version, expectedVersion);
  return (outcome === 'unknown' || outcome === 'refused') && tries > 1
    ? putAgain(fleet, version, expectedVersion, tries - 1)
    : outcome;
};

/** As operators do, it goes on to another machine where nobody listens. */
const readText = async (fleet: AskedCore, tries = 8): Promise<string | undefined> => {
  const word = simOperatorService(fleet).read();
  await fleet.playFor(3 * second);
  const told = await word;
  if (told.type === 'refused' && tries > 1) return readText(fleet, tries - 1);
  return told.type === 'record' ? told.record.original?.text : told.type;
};

test('five machines with three founders come to five voters', async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const fleet = openCoreFleet(seed, undefined, { machines: 5, voters: 5, refounds: false });
    await fleet.playFor(8 * second);
    assert.equal(votersNow(fleet), addressesOf(fleet), `seed ${seed}`);
    assert.is(await put(fleet, 4, 0), 'committed');
    fleet.machines.slice(0, 2).forEach((machine) => machine.kill());
    await fleet.playFor(4 * second);
    assert.is(await readText(fleet), 'document 4', `seed ${seed}`);
  }
});

test('a machine that lost its disk votes again within two seconds, so that the next may lose its own after four', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const fleet = openCoreFleet(seed, undefined, { refounds: false });
    await fleet.playFor(5 * second);
    assert.is(await put(fleet, 3, 0), 'committed', `seed ${seed}`);
    for (const place of [seed % 3, (seed + 1) % 3, (seed + 2) % 3]) {
      const machine = fleet.machines[place];
      machine?.loseDisk();
      await fleet.playFor(second / 2);
      machine?.start();
      await fleet.playFor(3 * second);
      assert.equal(votersNow(fleet), addressesOf(fleet), `seed ${seed}: ${machine?.name}`);
      assert.ok(
        fleet.machines.every((other) => other.replica().role !== 'learner' && other.replica().role !== 'unfounded'),
        `seed ${seed}: ${machine?.name}`,
      );
      await fleet.playFor(second / 2);
    }
    assert.is(await readText(fleet), 'document 3', `seed ${seed}`);
  }
});

test('an empty machine at another address takes the place of one that is gone for good', async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const fleet = openCoreFleet(seed, undefined, { refounds: false });
    await fleet.playFor(5 * second);
    assert.is(await put(fleet, 3, 0), 'committed', `seed ${seed}`);
    const gone = fleet.machines[seed % 3];
    gone?.loseDisk('core-x:1');
    await fleet.playFor(second / 2);
    gone?.start();
    await fleet.playFor(4 * second);
    assert.equal(votersNow(fleet), addressesOf(fleet), `seed ${seed}`);
  }
});

test('an emptied machine whose seeds are all stale is taken back by those who knew its address', async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const fleet = openCoreFleet(seed, undefined, { refounds: false, laterSeeds: ['core-x:1', 'core-y:1', 'core-z:1'] });
    await fleet.playFor(5 * second);
    const machine = fleet.machines[seed % 3];
    machine?.loseDisk();
    await fleet.playFor(second);
    machine?.start();
    await fleet.playFor(3 * second);
    assert.equal(votersNow(fleet), addressesOf(fleet), `seed ${seed}`);
    assert.ok(
      machine?.replica().role === 'follower' || machine?.replica().role === 'leader',
      `seed ${seed}: ${machine?.replica().role}`,
    );
  }
});

test('machines without a disk and without a leave to found do not found a core', async () => {
  const fleet = openCoreFleet(3, undefined, { refounds: false });
  await fleet.playFor(5 * second);
  fleet.machines.forEach((machine) => machine.loseDisk());
  fleet.machines.forEach((machine) => machine.start());
  await fleet.playFor(20 * second);
  assert.equal(
    fleet.machines.map((machine) => machine.replica().role),
    ['unfounded', 'unfounded', 'unfounded'],
  );
});

test('a leader whose disk refuses writes gives way, and takes part again once it does not', async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const fleet = openCoreFleet(seed, undefined, { refounds: false });
    await fleet.playFor(5 * second);
    const former = fleet.leader();
    former?.fillDisk(true);
    assert.is(await putAgain(fleet, 3, 0), 'committed', `seed ${seed}: sent again until it is decided`);
    await fleet.playFor(3 * second);
    assert.ok(former !== undefined && former.isUp(), `seed ${seed}: still up`);
    assert.is(await readText(fleet), 'document 3', `seed ${seed}`);
    former?.fillDisk(false);
    await fleet.playFor(3 * second);
    assert.is(former?.replica().commit, fleet.leader()?.replica().commit, `seed ${seed}: caught up`);
    assert.ok(fleet.leader() !== former, `seed ${seed}: another leads`);
  }
});

test('two documents on top of the same version: one is taken, the same again is taken, the other may come later', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const fleet = openCoreFleet(seed, undefined, { refounds: false });
    await fleet.playFor(5 * second);
    const desk = simOperatorService(fleet);
    const words = [7, 9].map((version) =>
      desk.putOriginal({
        setup: sampleSetup('first'),
        original: { version, text: `document ${version}` },
        expectedVersion: 0,
      }),
    );
    await fleet.playFor(5 * second);
    const outcomes = (await Promise.all(words)).map((word) =>
      word.type === 'decided' ? word.outcome.type : word.type,
    );
    assert.equal([...outcomes].sort(), ['committed', 'conflict'], `seed ${seed}`);
    const won = outcomes[0] === 'committed' ? 7 : 9;
    assert.is(await put(fleet, won, 5), 'committed', `seed ${seed}: again`);
    assert.is(fleet.leader()?.replica().state.record?.revision, 1, `seed ${seed}: no second revision`);
    assert.is(await put(fleet, 9, 7), 'committed', `seed ${seed}: on top of the right one`);
    assert.is(await readText(fleet), 'document 9', `seed ${seed}`);
    assert.equal(fleet.rules.broken(), [], `seed ${seed}`);
  }
});

test.run();
