import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { recoveredView } from '../../src/control/keeping/recover.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import { startControlView, type ControlView } from '../../src/control/machine/control-view.js';
import { newProgress } from '../../src/control/machine/replicating.js';
import { stepControl } from '../../src/control/machine/step.js';

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

const leaderOf = (term: number, entries: readonly LogEntry[]): ControlView => {
  const view: ControlView = {
    ...startControlView('a', 'a:1', ['a:1', 'b:1', 'c:1']),
    role: 'leader',
    leader: 'a',
    term,
    entries,
  };
  return { ...view, progress: new Map(['b', 'c'].map((identity) => [identity, newProgress(view)])) };
};

const heard = (view: ControlView, from: string, index: number): ControlView =>
  stepControl(view, {
    type: 'message',
    at: 1,
    chance: 0,
    from,
    message: { type: 'appendBack', term: view.term, matches: true, index, round: 0 },
  }).view;

test('an entry of a former term is not committed by its copies alone, only by one of the own term after it', () => {
  const former = leaderOf(4, [members, claimAt(2, 2)]);
  assert.is(heard(former, 'b', 2).commit, 0);
  const own = leaderOf(4, [members, claimAt(2, 2), claimAt(3, 4)]);
  assert.is(heard(own, 'b', 2).commit, 0);
  assert.is(heard(own, 'b', 3).commit, 3);
});

test('one vote a term, kept before it is said, and none for a shorter log', () => {
  const follower: ControlView = {
    ...leaderOf(4, [members, claimAt(2, 2)]),
    role: 'follower',
    leader: undefined,
    votedFor: undefined,
  };
  const ask = (view: ControlView, from: string, lastIndex: number) =>
    stepControl(view, {
      type: 'message',
      at: 1,
      chance: 0,
      from,
      message: { type: 'vote', term: 4, lastIndex, lastTerm: 2 },
    });
  const granted = ask(follower, 'b', 2);
  assert.equal(
    granted.effects.map((effect) => effect.type),
    ['keep', 'send'],
  );
  assert.is(granted.view.votedFor, 'b');
  const second = ask(granted.view, 'c', 9).effects[0];
  assert.ok(second?.type === 'send' && second.message.type === 'voteBack' && !second.message.granted);
  const shorter = ask(follower, 'c', 1).effects[0];
  assert.ok(shorter?.type === 'send' && shorter.message.type === 'voteBack' && !shorter.message.granted);
});

test('a machine that hears a leader grants no pre-vote, and a learner none at all', () => {
  const follower: ControlView = { ...leaderOf(4, [members]), role: 'follower', leader: 'c', heardLeaderUs: 0 };
  const ask = (view: ControlView, at: number) =>
    stepControl(view, {
      type: 'message',
      at,
      chance: 0,
      from: 'b',
      message: { type: 'preVote', term: 5, lastIndex: 9, lastTerm: 4 },
    }).effects[0];
  const early = ask(follower, 100_000);
  const late = ask(follower, 600_000);
  const learner = ask({ ...follower, identity: 'd' }, 600_000);
  assert.equal(
    [early, late, learner].map(
      (effect) => effect?.type === 'send' && effect.message.type === 'preVoteBack' && effect.message.granted,
    ),
    [false, true, false],
  );
});

test('an image that comes late takes nothing away that stands behind it and was acknowledged', () => {
  const entries = [members, claimAt(2, 2), claimAt(3, 2), claimAt(4, 2)];
  const follower: ControlView = { ...leaderOf(4, entries), role: 'follower', leader: 'b', commit: 1 };
  const image = {
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
    message: { type: 'install', term: 4, image, round: 1 },
  });
  assert.equal([installed.view.commit, installed.view.entries.map((entry) => entry.index)], [3, [4]]);
  const kept = installed.effects.flatMap((effect) => (effect.type === 'keep' ? [effect.record] : []));
  const recovered = recoveredView(startControlView('a', 'a:1', []), [{ type: 'entries', entries }, ...kept]);
  assert.equal(
    recovered.entries.map((entry) => entry.index),
    [4],
  );
  const other = stepControl(
    { ...follower, entries: [members, claimAt(2, 1), claimAt(3, 1), claimAt(4, 1)] },
    { type: 'message', at: 1, chance: 0, from: 'b', message: { type: 'install', term: 4, image, round: 1 } },
  );
  assert.equal(other.view.entries, [], 'a log of another term is gone');
});

test.run();
