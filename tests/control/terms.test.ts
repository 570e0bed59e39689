import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { recoverReplica } from '../../src/control/persistence/recovery.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { Snapshot } from '../../src/control/log/snapshot.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { startReplica, type Replica } from '../../src/control/machine/replica.js';
import { newProgress } from '../../src/control/machine/replication.js';
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
    ...startReplica('a', 'a:1', ['a:1', 'b:1', 'c:1']),
    role: 'leader',
    leader: 'a',
    term,
    entries,
  };
  return { ...replica, progress: new Map(['b', 'c'].map((identity) => [identity, newProgress(replica)])) };
};

/** A snapshot that goes as one piece. */
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

const heard = (replica: Replica, from: string, index: number): Replica =>
  stepControl(replica, {
    type: 'message',
    at: 1,
    chance: 0,
    from,
    message: { type: 'appendReply', term: replica.term, matches: true, index, round: 0 },
  }).replica;

test('an entry of a former term is not committed by its copies alone, only by one of the own term after it', () => {
  const former = leaderOf(4, [members, claimAt(2, 2)]);
  assert.is(heard(former, 'b', 2).commit, 0);
  const own = leaderOf(4, [members, claimAt(2, 2), claimAt(3, 4)]);
  assert.is(heard(own, 'b', 2).commit, 0);
  assert.is(heard(own, 'b', 3).commit, 3);
});

test('one vote a term, kept before it is said, and none for a shorter log', () => {
  const follower: Replica = {
    ...leaderOf(4, [members, claimAt(2, 2)]),
    role: 'follower',
    leader: undefined,
    votedFor: undefined,
  };
  const ask = (replica: Replica, from: string, lastIndex: number) =>
    stepControl(replica, {
      type: 'message',
      at: 1,
      chance: 0,
      from,
      message: { type: 'vote', term: 4, lastIndex, lastTerm: 2 },
    });
  const granted = ask(follower, 'b', 2);
  assert.equal(
    granted.effects.map((effect) => effect.type),
    ['persist', 'send'],
  );
  assert.is(granted.replica.votedFor, 'b');
  const second = ask(granted.replica, 'c', 9).effects[0];
  assert.ok(second?.type === 'send' && second.message.type === 'voteReply' && !second.message.granted);
  const shorter = ask(follower, 'c', 1).effects[0];
  assert.ok(shorter?.type === 'send' && shorter.message.type === 'voteReply' && !shorter.message.granted);
});

test('pre-votes and votes are granted by the log and the silence of the leader, by learners too', () => {
  const follower: Replica = { ...leaderOf(4, [members]), role: 'follower', leader: 'c', leaderContactUs: 0 };
  const learner: Replica = { ...follower, identity: 'd', role: 'learner' };
  const isPreVoted = (replica: Replica, at: number, term: number, lastIndex: number): boolean => {
    const message = { type: 'preVote' as const, term, lastIndex, lastTerm: 0 };
    const step = stepControl(replica, { type: 'message', at, chance: 0, from: 'b', message });
    const effect = step.effects[0];
    assert.ok(effect?.type === 'send' && effect.message.type === 'preVoteReply');
    assert.equal([step.replica.term, step.replica.votedFor], [replica.term, replica.votedFor], 'nobody is disturbed');
    return effect.message.granted;
  };
  const isVoted = (replica: Replica, lastIndex: number): boolean => {
    const message = { type: 'vote' as const, term: 5, lastIndex, lastTerm: 0 };
    const step = stepControl(replica, { type: 'message', at: 600_000, chance: 0, from: 'b', message });
    const reply = step.effects.find((effect) => effect.type === 'send');
    assert.ok(reply?.type === 'send' && reply.message.type === 'voteReply');
    assert.is(step.replica.votedFor, reply.message.granted ? 'b' : undefined);
    return reply.message.granted;
  };
  for (const replica of [follower, learner]) {
    assert.not(isPreVoted(replica, 100_000, 5, 1), `${replica.role}: it hears a leader`);
    assert.ok(isPreVoted(replica, 600_000, 5, 1), `${replica.role}: the leader is silent`);
    assert.not(isPreVoted(replica, 600_000, 4, 1), `${replica.role}: the term is not newer`);
    assert.not(isPreVoted(replica, 600_000, 5, 0), `${replica.role}: the log is shorter`);
    assert.ok(isVoted(replica, 1), `${replica.role}: the log is as long`);
    assert.not(isVoted(replica, 0), `${replica.role}: the log is shorter`);
  }
});

test('a learner never stands for election, and its vote counts for nobody whose members do not name it a voter', () => {
  const silent = { leader: undefined, leaderContactUs: 0, electionUs: 0 };
  const learner: Replica = { ...leaderOf(4, [members]), ...silent, identity: 'd', role: 'learner' };
  const ticked = stepControl(learner, { type: 'tick', at: 900_000, chance: 0 });
  assert.equal([ticked.replica.role, ticked.replica.term], ['learner', 4]);
  assert.not(ticked.effects.some((effect) => effect.type === 'send'));
  const candidate: Replica = { ...leaderOf(5, [members]), ...silent, role: 'candidate', votes: new Set(['a']) };
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

test('a snapshot that comes late takes nothing away that stands behind it and was acknowledged', () => {
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
  const kept = installed.effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
  const recovered = recoverReplica(startReplica('a', 'a:1', []), [{ type: 'entries', entries }, ...kept]);
  assert.equal(
    recovered.entries.map((entry) => entry.index),
    [4],
  );
  const other = stepControl(
    { ...follower, entries: [members, claimAt(2, 1), claimAt(3, 1), claimAt(4, 1)] },
    { type: 'message', at: 1, chance: 0, from: 'b', message: wholeSnapshot(snapshot) },
  );
  assert.equal(other.replica.entries, [], 'a log of another term is gone');
});

test.run();
