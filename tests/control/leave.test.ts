import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lastIndexOf, membersOf } from '../../src/control/machine/log-queries.js';
import { isServing, isSettledOn, openSimulatedCore, type SimulatedCore } from './simulated-core.js';

const second = 1_000_000;
const seeds = ['a:1', 'b:1', 'c:1'];
const learnerAddress = 'd:1';
/** The minimal time that a process keeps running after it was requested to stop. */
const stopDelayUs = 250_000;

const openSettledCore = (seed: number): SimulatedCore => {
  const core = openSimulatedCore(seed, seeds, 3);
  assert.ok(
    core.playUntil(() => isSettledOn(core, seeds), 10 * second),
    `seed ${seed}: bootstrapped`,
  );
  return core;
};

/** Starts a fourth node and waits until it is a caught-up learner. */
const addLearner = (core: SimulatedCore): void => {
  core.startEmpty(learnerAddress);
  const isReady = (): boolean => {
    const leader = core.leader()?.replica;
    const members = leader === undefined ? [] : membersOf(leader);
    return (
      leader !== undefined &&
      members.some((member) => member.address === learnerAddress) &&
      lastIndexOf(core.at(learnerAddress).replica) === leader.commit
    );
  };
  assert.ok(core.playUntil(isReady, 5 * second), 'the fourth node is a caught-up learner');
  core.playFor(second);
};

const stopGracefully = (core: SimulatedCore, address: string): void => {
  core.event(address, { type: 'resign', at: core.now(), chance: core.chance() });
  core.playFor(stopDelayUs);
  core.stop(address);
};

test('a voter that leaves gracefully is replaced by a caught-up learner, so that the core survives a loss right after', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const core = openSettledCore(seed);
    addLearner(core);
    const leaving = seeds[seed % seeds.length] ?? '';
    stopGracefully(core, leaving);
    const staying = [...seeds.filter((address) => address !== leaving), learnerAddress];
    assert.equal(core.voterAddresses(), staying.sort(), `seed ${seed}: ${leaving} was replaced`);
    const lost = staying[seed % staying.length] ?? '';
    core.stop(lost);
    assert.ok(
      core.playUntil(() => isServing(core) && core.leader()?.address !== lost, 5 * second),
      `seed ${seed}: ${leaving} left, ${lost} was lost`,
    );
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test('a voter that leaves gracefully while there is no learner remains a voter, and votes again after its restart', () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const core = openSettledCore(seed);
    const leaving = seeds[seed % seeds.length] ?? '';
    stopGracefully(core, leaving);
    core.playFor(second / 2);
    assert.equal(core.voterAddresses(), seeds, `seed ${seed}`);
    core.restart(leaving);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 3 * second),
      `seed ${seed}: ${leaving} is back`,
    );
  }
});

test('a leave notice expires after a short time, and is valid only from the voter that leaves', () => {
  const core = openSettledCore(3);
  const leader = core.leader()?.address ?? '';
  const follower = seeds.find((address) => address !== leader) ?? '';
  const { identity } = core.at(follower).replica;
  core.deliver(identity, leader, { type: 'leave', identity });
  core.deliver('somebody', leader, { type: 'leave', identity: core.at(leader).replica.identity });
  core.playFor(2 * second);
  addLearner(core);
  core.playFor(2 * second);
  assert.equal(core.voterAddresses(), seeds);
});

test.run();
