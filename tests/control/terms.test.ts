import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { recoverReplica } from '../../src/control/persistence/recovery.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { Snapshot } from '../../src/control/log/snapshot.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { initialProgress } from '../../src/control/machine/replication.js';
import { stepControl } from '../../src/control/machine/step.js';
import { encodeSnapshotText } from '../../src/control/wire/snapshot-text.js';

const members: LogEntry = {
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

const leaderOf = (term: number, entries: readonly LogEntry[]): Replica => {
  const replica: Replica = {
    ...createReplica('a', 'a:1', ['a:1', 'b:1', 'c:1']),
    role: 'leader',
    leader: 'a',
    term,
    entries,
  };
  return { ...replica, progress: new Map(['b', 'c'].map((identity) => [identity, initialProgress(replica)])) };
};

/** A snapshot sent in one piece. */
const wholeSnapshot = (snapshot: Snapshot): ControlMessage => {
  const { text, digest } = encodeSnapshotText(snapshot);
  return {
    type: 'installSnapshot',
    term: 4,
    snapshotIndex: snapshot.index,
    snapshotTerm: snapshot.term,
    offset: 0,
    total: text.length,
    digest,
    piece: text,
    round: 1,
  };
};

const afterReply = (replica: Replica, from: string, index: number): Replica =>
  stepControl(replica, {
    type: 'message',
    at: 1,
    chance: 0,
    from,
    message: { type: 'appendReply', term: replica.term, matches: true, index, round: 0 },
  }).replica;

test('an entry of an earlier term is not committed by counting replicas, only with a later entry of the current term', () => {
  const withoutOwnEntry = leaderOf(4, [members, claimAt(2, 2)]);
  assert.is(afterReply(withoutOwnEntry, 'b', 2).commit, 0);
  const withOwnEntry = leaderOf(4, [members, claimAt(2, 2), claimAt(3, 4)]);
  assert.is(afterReply(withOwnEntry, 'b', 2).commit, 0);
  assert.is(afterReply(withOwnEntry, 'b', 3).commit, 3);
});

test('a replica grants one vote per term, persists it before it replies, and grants none to a shorter log', () => {
  const follower: Replica = {
    ...leaderOf(4, [members, claimAt(2, 2)]),
    role: 'follower',
    leader: undefined,
    votedFor: undefined,
  };
  const requestVote = (replica: Replica, from: string, lastIndex: number) =>
    stepControl(replica, {
      type: 'message',
      at: 1,
      chance: 0,
      from,
      message: { type: 'vote', term: 4, lastIndex, lastTerm: 2 },
    });
  const granted = requestVote(follower, 'b', 2);
  assert.equal(
    granted.effects.map((effect) => effect.type),
    ['persist', 'send'],
  );
  assert.is(granted.replica.votedFor, 'b');
  const secondReply = requestVote(granted.replica, 'c', 9).effects[0];
  assert.ok(secondReply?.type === 'send' && secondReply.message.type === 'voteReply' && !secondReply.message.granted);
  const replyToShorterLog = requestVote(follower, 'c', 1).effects[0];
  assert.ok(
    replyToShorterLog?.type === 'send' &&
      replyToShorterLog.message.type === 'voteReply' &&
      !replyToShorterLog.message.granted,
  );
});

test('pre-votes depend on the log and on contact with the leader, votes on the log; learners grant both', () => {
  const follower: Replica = { ...leaderOf(4, [members]), role: 'follower', leader: 'c', leaderContactUs: 0 };
  const learner: Replica = { ...follower, identity: 'd', role: 'learner' };
  const grantsPreVote = (replica: Replica, at: number, term: number, lastIndex: number): boolean => {
    const message = { type: 'preVote' as const, term, lastIndex, lastTerm: 0 };
    const step = stepControl(replica, { type: 'message', at, chance: 0, from: 'b', message });
    const effect = step.effects[0];
    assert.ok(effect?.type === 'send' && effect.message.type === 'preVoteReply');
    assert.equal(
      [step.replica.term, step.replica.votedFor],
      [replica.term, replica.votedFor],
      'a pre-vote changes neither term nor vote',
    );
    return effect.message.granted;
  };
  const grantsVote = (replica: Replica, lastIndex: number): boolean => {
    const message = { type: 'vote' as const, term: 5, lastIndex, lastTerm: 0 };
    const step = stepControl(replica, { type: 'message', at: 600_000, chance: 0, from: 'b', message });
    const reply = step.effects.find((effect) => effect.type === 'send');
    assert.ok(reply?.type === 'send' && reply.message.type === 'voteReply');
    assert.is(step.replica.votedFor, reply.message.granted ? 'b' : undefined);
    return reply.message.granted;
  };
  for (const replica of [follower, learner]) {
    assert.not(grantsPreVote(replica, 100_000, 5, 1), `${replica.role}: in contact with a leader`);
    assert.ok(grantsPreVote(replica, 600_000, 5, 1), `${replica.role}: no contact with the leader`);
    assert.not(grantsPreVote(replica, 600_000, 4, 1), `${replica.role}: the term is not newer`);
    assert.not(grantsPreVote(replica, 600_000, 5, 0), `${replica.role}: the log is shorter`);
    assert.ok(grantsVote(replica, 1), `${replica.role}: the log is as long`);
    assert.not(grantsVote(replica, 0), `${replica.role}: the log is shorter`);
  }
});

test("a learner never starts an election, and its vote does not count unless the candidate's members name it a voter", () => {
  const withoutLeader = { leader: undefined, leaderContactUs: 0, electionUs: 0 };
  const learner: Replica = { ...leaderOf(4, [members]), ...withoutLeader, identity: 'd', role: 'learner' };
  const afterTick = stepControl(learner, { type: 'tick', at: 900_000, chance: 0 });
  assert.equal([afterTick.replica.role, afterTick.replica.term], ['learner', 4]);
  assert.not(afterTick.effects.some((effect) => effect.type === 'send'));
  const candidate: Replica = { ...leaderOf(5, [members]), ...withoutLeader, role: 'candidate', votes: new Set(['a']) };
  const votedBy = (from: string) =>
    stepControl(candidate, {
      type: 'message',
      at: 1,
      chance: 0,
      from,
      message: { type: 'voteReply', term: 5, granted: true },
    }).replica.role;
  assert.equal([votedBy('d'), votedBy('b')], ['candidate', 'leader']);
});

test('a delayed snapshot does not remove later entries that may have been acknowledged', () => {
  const entries = [members, claimAt(2, 2), claimAt(3, 2), claimAt(4, 2)];
  const follower: Replica = { ...leaderOf(4, entries), role: 'follower', leader: 'b', commit: 1 };
  const snapshot = {
    index: 3,
    term: 2,
    members: [...(members.command.type === 'members' ? members.command.members : [])],
    state: follower.state,
  };
  const installed = stepControl(follower, {
    type: 'message',
    at: 1,
    chance: 0,
    from: 'b',
    message: wholeSnapshot(snapshot),
  });
  assert.equal([installed.replica.commit, installed.replica.entries.map((entry) => entry.index)], [3, [4]]);
  const persisted = installed.effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
  const recovered = recoverReplica(createReplica('a', 'a:1', []), [{ type: 'entries', entries }, ...persisted]);
  assert.equal(
    recovered.entries.map((entry) => entry.index),
    [4],
  );
  const conflicting = stepControl(
    { ...follower, entries: [members, claimAt(2, 1), claimAt(3, 1), claimAt(4, 1)] },
    { type: 'message', at: 1, chance: 0, from: 'b', message: wholeSnapshot(snapshot) },
  );
  assert.equal(conflicting.replica.entries, [], 'conflicting entries are removed');
});

test.run();
