import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Micros } from '../../src/common/micros.js';
import { maxLogEntries } from '../../src/control/machine/parameters.js';
import { openCoreFleet, type AskedCore } from '../../src/sim/core/core-fleet.js';
import { usualDiskUs, type SimControl } from '../../src/sim/core/sim-control.js';

const second: Micros = 1_000_000;
const ringFileBytes = 4 << 20;
const claimCount = maxLogEntries + 1_000;

const claimAll = async (fleet: AskedCore, count: number): Promise<void> => {
  for (let done = 0; done < count; done += 50) {
    for (let place = done; place < done + 50; place += 1)
      void fleet.client.ask(
        {
          type: 'propose',
          command: { type: 'claim', key: `kind/key-${fleet.world.now()}-${place}`, exchange: `e${place}`, atUs: 1 },
        },
        5 * second,
      );
    await fleet.playFor(30_000);
  }
};

/** A member that was down until the others had compacted what it lacks, and is started again on a disk in trouble. */
const catchUp = async (
  seed: number,
  trouble: (member: SimControl, fleet: AskedCore) => Promise<void>,
): Promise<void> => {
  const fleet = openCoreFleet(seed, ringFileBytes);
  await fleet.playFor(5 * second);
  const leader = fleet.leader();
  const member = fleet.machines.find((machine) => machine !== leader);
  assert.ok(leader !== undefined && member !== undefined);
  member.kill();
  await claimAll(fleet, claimCount);
  const { term } = leader.replica();
  assert.ok(leader.replica().snapshot.index > member.replica().commit, 'the leader has compacted');
  member.start();
  await trouble(member, fleet);
  await fleet.playFor(10 * second);
  assert.is(member.replica().commit, leader.replica().commit);
  assert.is(member.replica().state.claimCount, leader.replica().state.claimCount);
  assert.equal([fleet.leader()?.name, fleet.leader()?.replica().term], [leader.name, term], 'the leader stays');
  assert.equal(fleet.rules.broken(), []);
};

test('a member catches up on a disk whose syncs take 0.4 s, while claims go on', () =>
  catchUp(41, async (member, fleet) => {
    member.slowDisk(400_000);
    await claimAll(fleet, 500);
    await fleet.playFor(3 * second);
    member.slowDisk(usualDiskUs);
  }));

test('a member catches up after its disk has stalled for seconds', () =>
  catchUp(42, async (member, fleet) => {
    member.slowDisk(3 * second);
    await claimAll(fleet, 500);
    await fleet.playFor(3 * second);
    member.slowDisk(usualDiskUs);
  }));

test('a member catches up after its disk was full when it started, without being started again', () =>
  catchUp(43, async (member, fleet) => {
    member.fillDisk(true);
    await claimAll(fleet, 500);
    await fleet.playFor(3 * second);
    member.fillDisk(false);
  }));

test.run();
