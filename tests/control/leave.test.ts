import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lastIndexOf, membersOf } from '../../src/control/machine/log-reading.js';
import { isServed, isSettledOn, openPureCore, type PureCore } from './pure-core.js';

const second = 1_000_000;
const seeds = ['a:1', 'b:1', 'c:1'];
const standby = 'd:1';
/** How long a process goes on after it was told to stop, at the least. */
const handOverUs = 250_000;

const foundedCore = (seed: number): PureCore => {
  const core = openPureCore(seed, seeds, 3);
  assert.ok(
    core.playUntil(() => isSettledOn(core, seeds), 10 * second),
    `seed ${seed}: founded`,
  );
  return core;
};

/** A fourth machine that stands by as a learner that has caught up. */
const withStandby = (core: PureCore): void => {
  core.startEmpty(standby);
  const isReady = (): boolean => {
    const leader = core.leader()?.replica;
    const members = leader === undefined ? [] : membersOf(leader);
    return (
      leader !== undefined &&
      members.some((member) => member.address === standby) &&
      lastIndexOf(core.at(standby).replica) === leader.commit
    );
  };
  assert.ok(core.playUntil(isReady, 5 * second), 'the fourth machine stands by');
  core.playFor(second);
};

const endInOrder = (core: PureCore, address: string): void => {
  core.event(address, { type: 'resign', at: core.now(), chance: core.chance() });
  core.playFor(handOverUs);
  core.stop(address);
};

test('a voter that ends in order gives its vote to a learner that stands by, so that a loss right after is borne', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const core = foundedCore(seed);
    withStandby(core);
    const leaving = seeds[seed % seeds.length] ?? '';
    endInOrder(core, leaving);
    const staying = [...seeds.filter((address) => address !== leaving), standby];
    assert.equal(core.voterAddresses(), staying.sort(), `seed ${seed}: ${leaving} has left`);
    const lost = staying[seed % staying.length] ?? '';
    core.stop(lost);
    assert.ok(
      core.playUntil(() => isServed(core) && core.leader()?.address !== lost, 5 * second),
      `seed ${seed}: ${leaving} left, ${lost} was lost`,
    );
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test('a voter that ends in order while nobody stands by keeps its vote, and votes again once it is back', () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const core = foundedCore(seed);
    const leaving = seeds[seed % seeds.length] ?? '';
    endInOrder(core, leaving);
    core.playFor(second / 2);
    assert.equal(core.voterAddresses(), seeds, `seed ${seed}`);
    core.restart(leaving);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 3 * second),
      `seed ${seed}: ${leaving} is back`,
    );
  }
});

test('a notice of leaving counts for a moment only, and only from the one that leaves', () => {
  const core = foundedCore(3);
  const leader = core.leader()?.address ?? '';
  const follower = seeds.find((address) => address !== leader) ?? '';
  const { identity } = core.at(follower).replica;
  core.deliver(identity, leader, { type: 'leave', identity });
  core.deliver('somebody', leader, { type: 'leave', identity: core.at(leader).replica.identity });
  core.playFor(2 * second);
  withStandby(core);
  core.playFor(2 * second);
  assert.equal(core.voterAddresses(), seeds);
});

test.run();
