import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import { checkStepInvariants, checkLogShape } from '../../src/control/machine/invariants.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import { openCounters } from '../../src/process/counters.js';
import { openGossipTask } from '../../src/process/gossip-task.js';
import { openCoreRules } from '../../src/sim/core/core-rules.js';
import { openCoreFleet } from '../../src/sim/core/core-fleet.js';
import { openWorld } from '../../src/sim/world/world.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import { simSurroundingsOf } from '../../src/sim/process/sim-surroundings.js';

const second = 1_000_000;

const membersEntry: LogEntry = {
  index: 1,
  term: 0,
  command: {
    type: 'members',
    members: ['a', 'b', 'c'].map((identity) => ({ identity, address: `${identity}:1`, voter: true })),
  },
};
const claimAt = (index: number, term: number): LogEntry => ({
  index,
  term,
  command: { type: 'claim', key: `k${index}`, exchange: `e${index}`, atUs: 0 },
});

const follower: Replica = {
  ...createReplica('a', 'a:1', ['a:1', 'b:1', 'c:1']),
  role: 'follower',
  term: 4,
  votedFor: 'b',
  entries: [membersEntry, claimAt(2, 2), claimAt(3, 4)],
  commit: 2,
};
const leader: Replica = { ...follower, role: 'leader', votedFor: 'a' };

const persisted = (...records: readonly DurableRecord[]) =>
  records.map((record) => ({ type: 'persist' as const, record }));

const assertViolation = (
  former: Replica,
  change: Partial<Replica>,
  rule: RegExp,
  ...records: readonly DurableRecord[]
): void => {
  assert.throws(
    () => checkStepInvariants(former, { replica: { ...former, ...change }, effects: persisted(...records) }),
    rule,
  );
};

test('a step that changes nothing is returned unchanged', () => {
  const step = { replica: follower, effects: [] };
  assert.is(checkStepInvariants(follower, step), step);
});

test('terms never decrease, and there is one vote per term', () => {
  assertViolation(follower, { term: 3 }, /term decreased from 4 to 3/);
  assertViolation(follower, { votedFor: 'c' }, /vote of term 4 changed from b to c/, {
    type: 'vote',
    term: 4,
    votedFor: 'c',
  });
  assertViolation(follower, { votedFor: undefined }, /vote of term 4 changed/);
});

test('a new term and a vote are persisted in the step that sets them', () => {
  assertViolation(follower, { term: 5, votedFor: 'c' }, /term 5 with a vote for c was not persisted/);
  assertViolation(follower, { term: 5, votedFor: 'c' }, /was not persisted/, { type: 'vote', term: 5 });
  checkStepInvariants(follower, {
    replica: { ...follower, term: 5, votedFor: 'c' },
    effects: persisted({ type: 'vote', term: 5 }, { type: 'vote', term: 5, votedFor: 'c' }),
  });
});

test('the commit index never decreases, never passes the end of the log, and its entry has no later term', () => {
  assertViolation(follower, { commit: 1 }, /commit index decreased from 2 to 1/);
  assertViolation(follower, { commit: 4 }, /commit index 4 is past the end of the log, 3/);
  const ahead = { ...follower, entries: [membersEntry, claimAt(2, 2), claimAt(3, 9)] };
  assertViolation(ahead, { commit: 3 }, /committed entry 3 has term 9, the replica is in term 4/);
});

test('no entry at or below the commit index is removed or replaced', () => {
  const replacement = claimAt(2, 4);
  assertViolation(follower, { entries: [membersEntry] }, /commit index 2 is past the end/);
  assertViolation(follower, { entries: [membersEntry, replacement] }, /committed entry 2 changed from term 2 to 4/);
  assertViolation(
    follower,
    { entries: [membersEntry, claimAt(2, 2), claimAt(3, 4)] },
    /entry 2 replaces a log that is committed up to 2/,
    { type: 'entries', entries: [claimAt(2, 2), claimAt(3, 4)] },
  );
});

test('a leader never replaces an entry of its own log; a follower may replace an uncommitted one', () => {
  const entries = [claimAt(3, 4)];
  assertViolation(leader, {}, /leader of term 4 replaces its own entry 3/, { type: 'entries', entries });
  checkStepInvariants(follower, { replica: follower, effects: persisted({ type: 'entries', entries }) });
});

test('entries are persisted in the step that adds them', () => {
  assertViolation(
    follower,
    { entries: [...follower.entries, claimAt(4, 4)] },
    /log up to entry 4 of term 4 was not persisted/,
  );
});

test('the log continues its snapshot without a gap, and the snapshot holds committed entries only', () => {
  const snapshotAt = (index: number) => ({ ...follower.snapshot, index, term: 2 });
  assert.throws(
    () => checkLogShape({ ...follower, entries: [membersEntry, claimAt(3, 4)] }),
    /log of 2 entries ends at index 3/,
  );
  assert.throws(() => checkLogShape({ ...follower, entries: [claimAt(2, 2)] }), /log starts at index 2/);
  assert.throws(
    () => checkLogShape({ ...follower, snapshot: snapshotAt(3), entries: [] }),
    /snapshot ends at index 3, past/,
  );
  checkLogShape({ ...follower, snapshot: snapshotAt(2), entries: [claimAt(3, 4)] });
  assertViolation(follower, { entries: [...follower.entries, claimAt(4, 4), claimAt(6, 4)] }, /ends at index 6/);
});

/** An append that conflicts with an entry that the follower has committed. */
const contradictingAppend = (term: number): ControlMessage => ({
  type: 'append',
  term,
  previousIndex: 1,
  previousTerm: 0,
  entries: [claimAt(2, term)],
  commit: 1,
  round: 1,
});

test('an append that would remove a committed entry throws', () => {
  assert.throws(
    () => stepControl(follower, { type: 'message', at: 1, chance: 0, from: 'b', message: contradictingAppend(4) }),
    /replaces a log that is committed up to 2|committed entry 2 changed/,
  );
});

test('a process whose replica violates an invariant exits before it persists or sends anything', async () => {
  const fleet = openCoreFleet(1);
  const { world, rules } = fleet;
  await fleet.playFor(5 * second);
  const victim = fleet.machines.find((machine) => machine.replica().role === 'follower');
  assert.ok(victim !== undefined && victim.replica().commit >= 2);
  const surroundings = simSurroundingsOf(fleet, 'forger', 'forger:1', openSimNode(world).begin());
  const forger = openGossipTask(
    { node: 'forger', role: 'router', address: 'forger:1', http: 'forger:1/http', locality: 'a' },
    [victim.address()],
    { change: () => undefined },
    openCounters(),
    surroundings,
  );
  await forger.start();
  await fleet.playFor(second);
  const before = victim.replica();
  forger.send(victim.address(), {
    type: 'control',
    identity: before.leader ?? 'none',
    message: contradictingAppend(before.term + 1),
  });
  await fleet.playFor(second / 2);
  assert.not.ok(victim.isUp(), 'the process has exited');
  assert.ok(
    rules.broken().some((text) => /broken-invariant: .*committed/.test(text)),
    rules.broken().join('\n'),
  );
  assert.is(victim.replica().term, before.term, 'the step was not applied');
  victim.start();
  await fleet.playFor(3 * second);
  const after = victim.replica();
  assert.ok(victim.isUp() && after.commit >= before.commit);
  assert.equal(
    after.entries.slice(0, before.commit),
    before.entries.slice(0, before.commit),
    'the committed log is unchanged',
  );
  assert.is(rules.broken().length, 1, rules.broken().join('\n'));
});

test('two replicas with the same leader and commit index but different states are reported', () => {
  const rules = openCoreRules(openWorld(1));
  const followerOfB: Replica = { ...follower, leader: 'b' };
  const diverged: Replica = { ...followerOfB, state: { ...followerOfB.state, claimCount: 1 } };
  rules.compareStates([
    followerOfB,
    { ...followerOfB, identity: 'c' },
    { ...diverged, commit: 3 },
    { ...diverged, leader: undefined },
  ]);
  assert.equal(rules.broken(), []);
  rules.compareStates([followerOfB, diverged]);
  assert.match(rules.broken()[0] ?? '', /two replicas of b term 4 entry 2 have applied other states/);
});

test.run();
