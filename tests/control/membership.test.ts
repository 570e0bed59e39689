import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { Member } from '../../src/control/members/member.js';
import { membersOf, votersOf } from '../../src/control/machine/log-queries.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { initialProgress } from '../../src/control/machine/replication.js';
import { stepControl } from '../../src/control/machine/step.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { isSettledOn, openSimulatedCore } from './simulated-core.js';

const second = 1_000_000;
const seeds = ['a:1', 'b:1', 'c:1'];

const member = (identity: string, address: string, voter: boolean): Member => ({ identity, address, voter });

const membersAt = (index: number, term: number, members: readonly Member[]): LogEntry => ({
  index,
  term,
  command: { type: 'members', members },
});

const bootstrapEntry = membersAt(1, 0, [
  member('a', 'a:1', true),
  member('b', 'b:1', true),
  member('c1', 'c:1', false),
]);
const promotionEntry = membersAt(2, 1, [member('a', 'a:1', true), member('b', 'b:1', true), member('c1', 'c:1', true)]);

test('a learner that lacks the entry which promotes it votes for a voter that has it', () => {
  const timing = { term: 1, electionUs: 100_000, leaderContactUs: 0 };
  let voter: Replica = {
    ...createReplica('b', 'b:1', seeds),
    ...timing,
    role: 'follower',
    entries: [bootstrapEntry, promotionEntry],
  };
  let learner: Replica = {
    ...createReplica('c1', 'c:1', seeds),
    ...timing,
    role: 'learner',
    entries: [bootstrapEntry],
  };
  for (let at = 0; at < 10 * second && voter.role !== 'leader'; at += 25_000) {
    const requested = stepControl(voter, { type: 'tick', at, chance: 0.5 });
    voter = requested.replica;
    learner = stepControl(learner, { type: 'tick', at, chance: 0.5 }).replica;
    const sentToLearner = requested.effects.flatMap((effect) =>
      effect.type === 'send' && effect.to === 'c1' ? [effect.message] : [],
    );
    const pendingMessages = [...sentToLearner];
    for (let message = pendingMessages.shift(); message !== undefined; message = pendingMessages.shift()) {
      const learnerStep = stepControl(learner, { type: 'message', at, chance: 0.5, from: 'b', message });
      learner = learnerStep.replica;
      for (const effect of learnerStep.effects) {
        if (effect.type !== 'send' || effect.to !== 'b') continue;
        const voterStep = stepControl(voter, { type: 'message', at, chance: 0.5, from: 'c1', message: effect.message });
        voter = voterStep.replica;
        pendingMessages.push(
          ...voterStep.effects.flatMap((next) => (next.type === 'send' && next.to === 'c1' ? [next.message] : [])),
        );
      }
    }
  }
  assert.is(voter.role, 'leader');
});

test('a join of an identity that is gone from its address changes no members, whoever sends it', () => {
  const members = [member('a', 'a:1', true), member('b', 'b:1', true), member('c2', 'c:1', true)];
  const initialLeader: Replica = {
    ...createReplica('a', 'a:1', seeds),
    role: 'leader',
    leader: 'a',
    term: 1,
    entries: [membersAt(1, 1, members)],
    commit: 1,
  };
  const leader: Replica = {
    ...initialLeader,
    progress: new Map(['b', 'c2'].map((identity) => [identity, { ...initialProgress(initialLeader), match: 1 }])),
  };
  for (const from of ['b', 'c1']) {
    const joined = stepControl(leader, {
      type: 'message',
      at: 1,
      chance: 0,
      from,
      message: { type: 'join', identity: 'c1', address: 'c:1' },
    });
    assert.equal(membersOf(joined.replica), members, `sent by ${from}`);
  }
});

test('a delayed join of an earlier identity of an address does not replace the voter at that address', () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const core = openSimulatedCore(seed, seeds, 3);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 10 * second),
      `seed ${seed}: bootstrapped`,
    );
    const replaced = seeds.find((address) => core.leader()?.address !== address) ?? 'a:1';
    const earlierIdentity = core.at(replaced).replica.identity;
    core.stop(replaced);
    core.playFor(second);
    core.startEmpty(replaced);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 5 * second),
      `seed ${seed}: replaced`,
    );
    const leader = core.leader();
    if (leader === undefined) continue;
    const voters = votersOf(leader.replica);
    for (const address of seeds)
      core.deliver('c1', address, { type: 'join', identity: earlierIdentity, address: replaced });
    for (let repetition = 0; repetition < 40; repetition += 1) {
      core.playFor(second / 10);
      assert.equal(votersOf(core.leader()?.replica ?? leader.replica), voters, `seed ${seed}`);
    }
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test('a join is confirmed only by a reply to the last identify message, in time, with the identity of the join', () => {
  const members = [member('a', 'a:1', true), member('b', 'b:1', true), member('c1', 'c:1', true)];
  const leader: Replica = {
    ...createReplica('a', 'a:1', seeds),
    role: 'leader',
    leader: 'a',
    term: 1,
    entries: [membersAt(1, 1, members)],
    commit: 1,
  };
  const receive = (replica: Replica, at: number, from: string, message: ControlMessage) =>
    stepControl(replica, { type: 'message', at, chance: 0, from, message });
  const requested = receive(leader, 1, 'b', { type: 'join', identity: 'c2', address: 'c:1' });
  const effect = requested.effects[0];
  assert.ok(effect?.type === 'sendTo' && effect.address === 'c:1' && effect.message.type === 'identify');
  const { nonce } = effect.message;
  const membersAfter = (at: number, from: string, replyNonce: string, identity: string, address = 'c:1') =>
    membersOf(
      receive(requested.replica, at, from, { type: 'identified', nonce: replyNonce, identity, address }).replica,
    );
  assert.equal(membersAfter(2, 'c2', 'other', 'c2'), members, 'another nonce');
  assert.equal(membersAfter(2, 'c1', nonce, 'c1'), members, 'another identity');
  assert.equal(membersAfter(2, 'c1', nonce, 'c2'), members, 'sent by another node');
  assert.equal(membersAfter(2, 'c2', nonce, 'c2', 'd:1'), members, 'another address');
  assert.equal(membersAfter(10 * second, 'c2', nonce, 'c2'), members, 'too late');
  assert.equal(membersAfter(2, 'c2', nonce, 'c2'), [...members, member('c2', 'c:1', false)], 'admitted as a learner');
  const repeated = receive(requested.replica, 2, 'b', { type: 'join', identity: 'c2', address: 'c:1' });
  assert.equal(repeated.effects, [], 'a duplicated join sends no second identify message');
});

test('a dead voter is removed only if a learner has caught up, and never with the sole second copy of a committed entry', () => {
  const members = [
    member('a', 'a:1', true),
    member('b', 'b:1', true),
    member('c', 'c:1', true),
    member('d', 'd:1', false),
  ];
  const claimEntry: LogEntry = { index: 2, term: 1, command: { type: 'claim', key: 'k', exchange: 'e', atUs: 0 } };
  const at = 5 * second;
  const initialLeader: Replica = {
    ...createReplica('a', 'a:1', seeds),
    role: 'leader',
    leader: 'a',
    term: 1,
    entries: [membersAt(1, 1, members), claimEntry],
    commit: 2,
    atUs: at,
  };
  const votersAfter = (matchOfB: number, matchOfD: number): readonly string[] => {
    const inContact = { ...initialProgress(initialLeader), heardUs: at };
    const progress = new Map([
      ['b', { ...inContact, match: matchOfB }],
      ['c', { ...inContact, match: 2, heardUs: 0 }],
      ['d', { ...inContact, match: matchOfD }],
    ]);
    const afterTick = stepControl({ ...initialLeader, progress }, { type: 'tick', at, chance: 0 }).replica;
    return votersOf(afterTick).map((voter) => voter.identity);
  };
  assert.equal(votersAfter(1, 2), ['a', 'b', 'c'], 'only the dead voter has the second copy');
  assert.equal(votersAfter(2, 1), ['a', 'b', 'c'], 'the learner has not caught up');
  assert.equal(votersAfter(2, 2), ['a', 'b'], 'the follower and the learner have caught up');
});

test('a seed wiped before the bootstrap does not block it, and no second core is bootstrapped', () => {
  for (let seed = 1; seed <= 300; seed += 1) {
    const core = openSimulatedCore(seed, seeds, 3, seed % 2 === 0 ? 0.2 : 0);
    const wiped = seeds[seed % 3] ?? 'a:1';
    core.setLossShare(0.6);
    if (seed % 5 === 0) core.stop(wiped);
    core.playFor(Math.floor(core.chance() * 1.2 * second));
    core.stop(wiped);
    core.playFor(Math.floor(core.chance() * second));
    core.startEmpty(wiped);
    core.playFor(Math.floor(core.chance() * second));
    core.setLossShare(0);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 12 * second),
      `seed ${seed}: not bootstrapped`,
    );
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test('one seed that may bootstrap does not bootstrap a core with two that may not', () => {
  const core = openSimulatedCore(7, seeds, 3);
  ['b:1', 'c:1'].forEach(core.stop);
  core.playFor(second);
  ['b:1', 'c:1'].forEach(core.startEmpty);
  core.playFor(20 * second);
  assert.equal(
    core.addresses().map((address) => core.at(address).replica.role),
    ['unfounded', 'unfounded', 'unfounded'],
  );
});

test.run();
