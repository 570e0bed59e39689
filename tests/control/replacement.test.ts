import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lastIndexOf, votersOf } from '../../src/control/machine/log-reading.js';
import { isServed, isSettledOn, openPureCore, type PureCore } from './pure-core.js';

const second = 1_000_000;
const tickUs = 25_000;
/** Within this a core with a majority must have a leader that commits. */
const serveWithinUs = 6 * second;
/** Within this a machine that came back must vote again. */
const voteWithinUs = 2 * second;
const replaceWithinUs = 5 * second;

type Loss = 'restarted' | 'wiped' | 'replaced';

const losses: readonly Loss[] = ['restarted', 'wiped', 'replaced'];

const seedsOfThree: readonly string[] = ['a:1', 'b:1', 'c:1'];
const seedsOfFive: readonly string[] = [...seedsOfThree, 'd:1', 'e:1'];

const claim = (core: PureCore, place: number): void => {
  const leading = core.leader();
  if (leading === undefined) return;
  const command = { type: 'claim' as const, key: `k${place}`, exchange: `e${place}`, atUs: core.now() };
  core.event(leading.address, { type: 'propose', at: core.now(), requestId: `r${place}`, command });
};

/** Plays with a command at each tick, so that losses fall between any two entries. */
const playBusy = (core: PureCore, ticks: number): void => {
  for (let tick = 0; tick < ticks; tick += 1) {
    claim(core, core.now());
    core.playFor(tickUs);
  }
};

const pick = (core: PureCore, addresses: readonly string[], leads: boolean): string => {
  const leading = core.leader()?.address;
  const candidates = addresses.filter((address) => (address === leading) === leads);
  return candidates[Math.floor(core.chance() * candidates.length)] ?? addresses[0] ?? '';
};

/** Brings a lost machine's successor; its address. */
const bringBack = (core: PureCore, lost: string, loss: Loss, place: number): string => {
  if (loss === 'restarted') core.restart(lost);
  if (loss !== 'replaced') {
    if (loss === 'wiped') core.startEmpty(lost);
    return lost;
  }
  const address = `x${place}:1`;
  core.startEmpty(address);
  return address;
};

const openFounded = (seed: number, seeds: readonly string[], doubled: number): PureCore => {
  const core = openPureCore(seed, seeds, seeds.length, doubled);
  assert.ok(
    core.playUntil(() => isSettledOn(core, seeds), 10 * second),
    `seed ${seed}: founded`,
  );
  return core;
};

/** What a broken run says of itself. */
const traceOf = (core: PureCore, seed: number, what: string): string =>
  [
    `seed ${seed}: ${what}`,
    ...core.addresses().map((address) => {
      const { replica, isUp } = core.at(address);
      const voters = votersOf(replica).map((voter) => voter.identity);
      return `${replica.identity} ${isUp ? replica.role : 'down'} term ${replica.term} last ${lastIndexOf(replica)} commit ${replica.commit} voters ${voters.join(' ')}`;
    }),
  ].join('\n');

const playReplacements = (seed: number, seeds: readonly string[], survives: number): void => {
  const core = openFounded(seed, seeds, seed % 2 === 0 ? 0.1 : 0);
  let current = seeds;
  for (let round = 0; round < 4; round += 1) {
    const lostMachines: string[] = [];
    for (let count = 0; count < survives; count += 1) {
      const living = current.filter((address) => !lostMachines.includes(address));
      const lost = pick(core, living, core.chance() < 0.5);
      if (core.chance() < 0.3) core.event(lost, { type: 'resign', at: core.now(), chance: core.chance() });
      if (core.chance() < 0.5) core.playFor(tickUs);
      core.stop(lost);
      lostMachines.push(lost);
      playBusy(core, Math.floor(core.chance() * 20));
    }
    assert.ok(
      core.playUntil(() => isServed(core), serveWithinUs),
      traceOf(core, seed, `round ${round}: not served`),
    );
    for (const lost of lostMachines) {
      const loss = losses[Math.floor(core.chance() * losses.length)] ?? 'wiped';
      const successor = bringBack(core, lost, loss, seed * 100 + round * 10 + lostMachines.indexOf(lost));
      current = current.map((address) => (address === lost ? successor : address));
      playBusy(core, Math.floor(core.chance() * 10));
    }
    assert.ok(
      core.playUntil(() => isSettledOn(core, current), replaceWithinUs),
      traceOf(core, seed, `round ${round}: ${current.join(' ')} do not vote`),
    );
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
};

test('cores of three bear one loss after another: leader or follower, restarted, wiped or replaced', () => {
  for (let seed = 1; seed <= 60; seed += 1) playReplacements(seed, seedsOfThree, 1);
});

test('cores of five bear two losses at once, over and over', () => {
  for (let seed = 1; seed <= 25; seed += 1) playReplacements(seed, seedsOfFive, 2);
});

test('a second loss at any tick after a wiped machine votes again leaves a leader, whoever is lost', () => {
  for (let ticks = 0; ticks < 12; ticks += 1)
    for (const loss of ['wiped', 'replaced'] as const)
      for (const leads of [true, false]) {
        const seed = 1_000 + ticks;
        const core = openFounded(seed, seedsOfThree, 0);
        const first = pick(core, seedsOfThree, !leads);
        core.stop(first);
        playBusy(core, 24);
        const successor = bringBack(core, first, loss, ticks);
        const current = seedsOfThree.map((address) => (address === first ? successor : address));
        const isVoting = (): boolean => {
          const leading = core.leader()?.replica;
          const voters = leading === undefined ? [] : votersOf(leading);
          return voters.some((voter) => voter.identity === core.at(successor).replica.identity);
        };
        const isBack = core.playUntil(isVoting, loss === 'wiped' ? voteWithinUs : replaceWithinUs);
        assert.ok(isBack, traceOf(core, seed, `${successor} does not vote`));
        playBusy(core, ticks);
        const second = pick(
          core,
          current.filter((address) => address !== successor),
          leads,
        );
        core.stop(second);
        assert.ok(
          core.playUntil(() => isServed(core) && core.leader()?.address !== second, serveWithinUs),
          traceOf(core, seed, `after the second loss, ${second}`),
        );
        assert.equal(core.broken(), [], `seed ${seed}`);
      }
});

test('a replaced machine that comes back with its disk unseats nobody', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const core = openFounded(seed, seedsOfThree, 0.1);
    const former = pick(core, seedsOfThree, seed % 2 === 0);
    core.stop(former);
    core.playFor(second);
    const successor = bringBack(core, former, 'replaced', seed);
    const current = seedsOfThree.map((address) => (address === former ? successor : address));
    assert.ok(
      core.playUntil(() => isSettledOn(core, current), replaceWithinUs),
      traceOf(core, seed, 'not replaced'),
    );
    const term = core.leader()?.replica.term;
    core.restart(former);
    for (let beat = 0; beat < 50; beat += 1) {
      playBusy(core, 4);
      assert.equal(core.voterAddresses(), [...current].sort(), traceOf(core, seed, 'the voters changed'));
    }
    assert.is(core.leader()?.replica.term, term, traceOf(core, seed, 'the leader changed'));
    assert.is(core.at(former).replica.role, 'learner', traceOf(core, seed, 'the former voter follows as a learner'));
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test.run();
