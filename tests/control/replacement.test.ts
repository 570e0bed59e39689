import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lastIndexOf, votersOf } from '../../src/control/machine/log-queries.js';
import { isServing, isSettledOn, openSimulatedCore, type SimulatedCore } from './simulated-core.js';

const second = 1_000_000;
const tickUs = 25_000;
/** The time within which a core with a majority must have a leader that commits. */
const serveWithinUs = 6 * second;
/** The time within which a node that came back at its address must be a voter again. */
const voteWithinUs = 2 * second;
const replaceWithinUs = 5 * second;

type Loss = 'restarted' | 'wiped' | 'replaced';

const losses: readonly Loss[] = ['restarted', 'wiped', 'replaced'];

const seedsOfThree: readonly string[] = ['a:1', 'b:1', 'c:1'];
const seedsOfFive: readonly string[] = [...seedsOfThree, 'd:1', 'e:1'];

const claim = (core: SimulatedCore, index: number): void => {
  const leader = core.leader();
  if (leader === undefined) return;
  const command = { type: 'claim' as const, key: `k${index}`, exchange: `e${index}`, atUs: core.now() };
  core.event(leader.address, { type: 'propose', at: core.now(), requestId: `r${index}`, command });
};

/** Plays with a command at each tick, so that a loss can occur between any two entries. */
const playWithCommands = (core: SimulatedCore, ticks: number): void => {
  for (let tick = 0; tick < ticks; tick += 1) {
    claim(core, core.now());
    core.playFor(tickUs);
  }
};

const pick = (core: SimulatedCore, addresses: readonly string[], leads: boolean): string => {
  const leader = core.leader()?.address;
  const candidates = addresses.filter((address) => (address === leader) === leads);
  return candidates[Math.floor(core.chance() * candidates.length)] ?? addresses[0] ?? '';
};

/** Starts the successor of a lost node; returns its address. */
const startSuccessor = (core: SimulatedCore, lost: string, loss: Loss, index: number): string => {
  if (loss === 'restarted') core.restart(lost);
  if (loss !== 'replaced') {
    if (loss === 'wiped') core.startEmpty(lost);
    return lost;
  }
  const address = `x${index}:1`;
  core.startEmpty(address);
  return address;
};

const openSettledCore = (seed: number, seeds: readonly string[], duplicated: number): SimulatedCore => {
  const core = openSimulatedCore(seed, seeds, seeds.length, duplicated);
  assert.ok(
    core.playUntil(() => isSettledOn(core, seeds), 10 * second),
    `seed ${seed}: bootstrapped`,
  );
  return core;
};

/** The failure message of a run: the state of each node. */
const describeFailure = (core: SimulatedCore, seed: number, failure: string): string =>
  [
    `seed ${seed}: ${failure}`,
    ...core.addresses().map((address) => {
      const { replica, isUp } = core.at(address);
      const voters = votersOf(replica).map((voter) => voter.identity);
      return `${replica.identity} ${isUp ? replica.role : 'down'} term ${replica.term} last ${lastIndexOf(replica)} commit ${replica.commit} voters ${voters.join(' ')}`;
    }),
  ].join('\n');

const playReplacements = (seed: number, seeds: readonly string[], lossesAtOnce: number): void => {
  const core = openSettledCore(seed, seeds, seed % 2 === 0 ? 0.1 : 0);
  let addresses = seeds;
  for (let round = 0; round < 4; round += 1) {
    const lostAddresses: string[] = [];
    for (let count = 0; count < lossesAtOnce; count += 1) {
      const upAddresses = addresses.filter((address) => !lostAddresses.includes(address));
      const lost = pick(core, upAddresses, core.chance() < 0.5);
      if (core.chance() < 0.3) core.event(lost, { type: 'resign', at: core.now(), chance: core.chance() });
      if (core.chance() < 0.5) core.playFor(tickUs);
      core.stop(lost);
      lostAddresses.push(lost);
      playWithCommands(core, Math.floor(core.chance() * 20));
    }
    assert.ok(
      core.playUntil(() => isServing(core), serveWithinUs),
      describeFailure(core, seed, `round ${round}: no leader that commits`),
    );
    for (const lost of lostAddresses) {
      const loss = losses[Math.floor(core.chance() * losses.length)] ?? 'wiped';
      const successor = startSuccessor(core, lost, loss, seed * 100 + round * 10 + lostAddresses.indexOf(lost));
      addresses = addresses.map((address) => (address === lost ? successor : address));
      playWithCommands(core, Math.floor(core.chance() * 10));
    }
    assert.ok(
      core.playUntil(() => isSettledOn(core, addresses), replaceWithinUs),
      describeFailure(core, seed, `round ${round}: ${addresses.join(' ')} are not all voters`),
    );
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
};

test('a core of three survives successive losses of one node: leader or follower, restarted, wiped or replaced', () => {
  for (let seed = 1; seed <= 60; seed += 1) playReplacements(seed, seedsOfThree, 1);
});

test('a core of five survives successive losses of two nodes at once', () => {
  for (let seed = 1; seed <= 25; seed += 1) playReplacements(seed, seedsOfFive, 2);
});

test('after a wiped or replaced node votes again, the loss of another node at any tick leaves a leader', () => {
  for (let ticks = 0; ticks < 12; ticks += 1)
    for (const loss of ['wiped', 'replaced'] as const)
      for (const leads of [true, false]) {
        const seed = 1_000 + ticks;
        const core = openSettledCore(seed, seedsOfThree, 0);
        const first = pick(core, seedsOfThree, !leads);
        core.stop(first);
        playWithCommands(core, 24);
        const successor = startSuccessor(core, first, loss, ticks);
        const addresses = seedsOfThree.map((address) => (address === first ? successor : address));
        const isVoting = (): boolean => {
          const leader = core.leader()?.replica;
          const voters = leader === undefined ? [] : votersOf(leader);
          return voters.some((voter) => voter.identity === core.at(successor).replica.identity);
        };
        const isBack = core.playUntil(isVoting, loss === 'wiped' ? voteWithinUs : replaceWithinUs);
        assert.ok(isBack, describeFailure(core, seed, `${successor} is not a voter`));
        playWithCommands(core, ticks);
        const second = pick(
          core,
          addresses.filter((address) => address !== successor),
          leads,
        );
        core.stop(second);
        assert.ok(
          core.playUntil(() => isServing(core) && core.leader()?.address !== second, serveWithinUs),
          describeFailure(core, seed, `after the second loss, ${second}`),
        );
        assert.equal(core.broken(), [], `seed ${seed}`);
      }
});

test('a replaced node that comes back with its disk changes neither voters nor leader', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const core = openSettledCore(seed, seedsOfThree, 0.1);
    const replaced = pick(core, seedsOfThree, seed % 2 === 0);
    core.stop(replaced);
    core.playFor(second);
    const successor = startSuccessor(core, replaced, 'replaced', seed);
    const addresses = seedsOfThree.map((address) => (address === replaced ? successor : address));
    assert.ok(
      core.playUntil(() => isSettledOn(core, addresses), replaceWithinUs),
      describeFailure(core, seed, 'not replaced'),
    );
    const term = core.leader()?.replica.term;
    core.restart(replaced);
    for (let repetition = 0; repetition < 50; repetition += 1) {
      playWithCommands(core, 4);
      assert.equal(core.voterAddresses(), [...addresses].sort(), describeFailure(core, seed, 'the voters changed'));
    }
    assert.is(core.leader()?.replica.term, term, describeFailure(core, seed, 'the leader changed'));
    assert.is(
      core.at(replaced).replica.role,
      'learner',
      describeFailure(core, seed, 'the replaced voter is not a learner'),
    );
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test.run();
