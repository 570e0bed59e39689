import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { Member } from '../../src/control/members/member.js';
import { membersOf, votersOf } from '../../src/control/machine/log-reading.js';
import { startReplica, type Replica } from '../../src/control/machine/replica.js';
import { newProgress } from '../../src/control/machine/replication.js';
import { stepControl } from '../../src/control/machine/step.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { isSettledOn, openPureCore } from './pure-core.js';

const second = 1_000_000;
const seeds = ['a:1', 'b:1', 'c:1'];

const member = (identity: string, address: string, voter: boolean): Member => ({ identity, address, voter });

const membersAt = (index: number, term: number, members: readonly Member[]): LogEntry => ({
  index,
  term,
  command: { type: 'members', members },
});

const founding = membersAt(1, 0, [member('a', 'a:1', true), member('b', 'b:1', true), member('c1', 'c:1', false)]);
const promotion = membersAt(2, 1, [member('a', 'a:1', true), member('b', 'b:1', true), member('c1', 'c:1', true)]);

test('a learner that lacks the entry that promotes it lets the voter that has it be elected', () => {
  const passive = { term: 1, electionUs: 100_000, leaderContactUs: 0 };
  let voter: Replica = {
    ...startReplica('b', 'b:1', seeds),
    ...passive,
    role: 'follower',
    entries: [founding, promotion],
  };
  let learner: Replica = { ...startReplica('c1', 'c:1', seeds), ...passive, role: 'learner', entries: [founding] };
  for (let at = 0; at < 10 * second && voter.role !== 'leader'; at += 25_000) {
    const asked = stepControl(voter, { type: 'tick', at, chance: 0.5 });
    voter = asked.replica;
    learner = stepControl(learner, { type: 'tick', at, chance: 0.5 }).replica;
    const toLearner = asked.effects.flatMap((effect) =>
      effect.type === 'send' && effect.to === 'c1' ? [effect.message] : [],
    );
    const waiting = [...toLearner];
    for (let message = waiting.shift(); message !== undefined; message = waiting.shift()) {
      const heard = stepControl(learner, { type: 'message', at, chance: 0.5, from: 'b', message });
      learner = heard.replica;
      for (const effect of heard.effects) {
        if (effect.type !== 'send' || effect.to !== 'b') continue;
        const back = stepControl(voter, { type: 'message', at, chance: 0.5, from: 'c1', message: effect.message });
        voter = back.replica;
        waiting.push(
          ...back.effects.flatMap((next) => (next.type === 'send' && next.to === 'c1' ? [next.message] : [])),
        );
      }
    }
  }
  assert.is(voter.role, 'leader');
});

test('a join of an identity that is gone changes no members, however it comes', () => {
  const members = [member('a', 'a:1', true), member('b', 'b:1', true), member('c2', 'c:1', true)];
  const bornLeader: Replica = {
    ...startReplica('a', 'a:1', seeds),
    role: 'leader',
    leader: 'a',
    term: 1,
    entries: [membersAt(1, 1, members)],
    commit: 1,
  };
  const leader: Replica = {
    ...bornLeader,
    progress: new Map(['b', 'c2'].map((identity) => [identity, { ...newProgress(bornLeader), match: 1 }])),
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

test('a late join of a former life of an address leaves the life that votes there in its place', () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const core = openPureCore(seed, seeds, 3);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 10 * second),
      `seed ${seed}: founded`,
    );
    const replaced = seeds.find((address) => core.leader()?.address !== address) ?? 'a:1';
    const formerIdentity = core.at(replaced).replica.identity;
    core.stop(replaced);
    core.playFor(second);
    core.startEmpty(replaced);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 5 * second),
      `seed ${seed}: replaced`,
    );
    const leading = core.leader();
    if (leading === undefined) continue;
    const voters = votersOf(leading.replica);
    for (const address of seeds)
      core.deliver('c1', address, { type: 'join', identity: formerIdentity, address: replaced });
    for (let beat = 0; beat < 40; beat += 1) {
      core.playFor(second / 10);
      assert.equal(votersOf(core.leader()?.replica ?? leading.replica), voters, `seed ${seed}`);
    }
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test('an address counts as answered only by the newest question, in time, with the identity that joined', () => {
  const members = [member('a', 'a:1', true), member('b', 'b:1', true), member('c1', 'c:1', true)];
  const leader: Replica = {
    ...startReplica('a', 'a:1', seeds),
    role: 'leader',
    leader: 'a',
    term: 1,
    entries: [membersAt(1, 1, members)],
    commit: 1,
  };
  const hear = (replica: Replica, at: number, from: string, message: ControlMessage) =>
    stepControl(replica, { type: 'message', at, chance: 0, from, message });
  const asked = hear(leader, 1, 'b', { type: 'join', identity: 'c2', address: 'c:1' });
  const question = asked.effects[0];
  assert.ok(question?.type === 'sendTo' && question.address === 'c:1' && question.message.type === 'identify');
  const { nonce } = question.message;
  const membersAfter = (at: number, from: string, answeredNonce: string, identity: string, address = 'c:1') =>
    membersOf(hear(asked.replica, at, from, { type: 'identified', nonce: answeredNonce, identity, address }).replica);
  assert.equal(membersAfter(2, 'c2', 'other', 'c2'), members, 'another question');
  assert.equal(membersAfter(2, 'c1', nonce, 'c1'), members, 'another identity');
  assert.equal(membersAfter(2, 'c1', nonce, 'c2'), members, 'told by another machine');
  assert.equal(membersAfter(2, 'c2', nonce, 'c2', 'd:1'), members, 'another address');
  assert.equal(membersAfter(10 * second, 'c2', nonce, 'c2'), members, 'too late');
  assert.equal(membersAfter(2, 'c2', nonce, 'c2'), [...members, member('c2', 'c:1', false)], 'a learner beside all');
  const doubled = hear(asked.replica, 2, 'b', { type: 'join', identity: 'c2', address: 'c:1' });
  assert.equal(doubled.effects, [], 'a join that comes twice asks once');
});

test('a dead voter leaves only for a ready learner, and never with the only copy of what is committed', () => {
  const members = [
    member('a', 'a:1', true),
    member('b', 'b:1', true),
    member('c', 'c:1', true),
    member('d', 'd:1', false),
  ];
  const claimEntry: LogEntry = { index: 2, term: 1, command: { type: 'claim', key: 'k', exchange: 'e', atUs: 0 } };
  const at = 5 * second;
  const bornLeader: Replica = {
    ...startReplica('a', 'a:1', seeds),
    role: 'leader',
    leader: 'a',
    term: 1,
    entries: [membersAt(1, 1, members), claimEntry],
    commit: 2,
    atUs: at,
  };
  const votersAfter = (matchOfB: number, matchOfD: number): readonly string[] => {
    const heard = { ...newProgress(bornLeader), heardUs: at };
    const progress = new Map([
      ['b', { ...heard, match: matchOfB }],
      ['c', { ...heard, match: 2, heardUs: 0 }],
      ['d', { ...heard, match: matchOfD }],
    ]);
    const ticked = stepControl({ ...bornLeader, progress }, { type: 'tick', at, chance: 0 }).replica;
    return votersOf(ticked).map((voter) => voter.identity);
  };
  assert.equal(votersAfter(1, 2), ['a', 'b', 'c'], 'only the dead voter has the second copy');
  assert.equal(votersAfter(2, 1), ['a', 'b', 'c'], 'the learner has not caught up');
  assert.equal(votersAfter(2, 2), ['a', 'b'], 'both are there');
});

test('a founding member wiped before the founding does not block it, and no second core comes of it', () => {
  for (let seed = 1; seed <= 300; seed += 1) {
    const core = openPureCore(seed, seeds, 3, seed % 2 === 0 ? 0.2 : 0);
    const wiped = seeds[seed % 3] ?? 'a:1';
    core.lose(0.6);
    if (seed % 5 === 0) core.stop(wiped);
    core.playFor(Math.floor(core.chance() * 1.2 * second));
    core.stop(wiped);
    core.playFor(Math.floor(core.chance() * second));
    core.startEmpty(wiped);
    core.playFor(Math.floor(core.chance() * second));
    core.lose(0);
    assert.ok(
      core.playUntil(() => isSettledOn(core, seeds), 12 * second),
      `seed ${seed}: not founded`,
    );
    assert.equal(core.broken(), [], `seed ${seed}`);
  }
});

test('one machine that may found does not found a core alone with two that may not', () => {
  const core = openPureCore(7, seeds, 3);
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
