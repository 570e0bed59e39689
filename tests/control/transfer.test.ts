import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { ControlEffect } from '../../src/control/machine/control-effect.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { initialProgress } from '../../src/control/machine/replication.js';
import { stepControl } from '../../src/control/machine/step.js';

const identities = ['a', 'b', 'c'];

const bootstrapEntry: LogEntry = {
  index: 1,
  term: 4,
  command: {
    type: 'members',
    members: identities.map((identity) => ({ identity, address: `${identity}:1`, voter: true })),
  },
};
const claimEntry: LogEntry = { index: 2, term: 4, command: { type: 'claim', key: 'k', exchange: 'e', atUs: 0 } };

/** A leader whose followers have the first entry only. */
const initialLeader: Replica = {
  ...createReplica('a', 'a:1', []),
  role: 'leader',
  leader: 'a',
  term: 4,
  entries: [bootstrapEntry, claimEntry],
  commit: 1,
};
const leader: Replica = {
  ...initialLeader,
  progress: new Map(['b', 'c'].map((identity) => [identity, { ...initialProgress(initialLeader), match: 1, next: 2 }])),
};

const successorsIn = (effects: readonly ControlEffect[]): readonly string[] =>
  effects.flatMap((effect) => (effect.type === 'send' && effect.message.type === 'timeoutNow' ? [effect.to] : []));

const afterReply = (replica: Replica, from: string, index: number) =>
  stepControl(replica, {
    type: 'message',
    at: 2,
    chance: 0,
    from,
    message: { type: 'appendReply', term: 4, matches: true, index, round: 0 },
  });

test('a leader that is about to stop transfers its leadership only to a voter that has its whole log', () => {
  const resigned = stepControl(leader, { type: 'resign', at: 1, chance: 0 });
  assert.equal(successorsIn(resigned.effects), [], 'no voter has caught up yet');
  assert.is(resigned.replica.role, 'leader');
  assert.ok(
    resigned.effects.some((effect) => effect.type === 'send' && effect.message.type === 'append'),
    'the successor is brought up to date',
  );
  const behind = afterReply(resigned.replica, 'b', 1);
  assert.equal(successorsIn(behind.effects), []);
  const caughtUp = afterReply(resigned.replica, 'b', 2);
  assert.equal(successorsIn(caughtUp.effects), ['b']);
  assert.is(caughtUp.replica.role, 'follower');
});

test('a leader refuses commands during a transfer, and remains leader if no voter catches up in time', () => {
  const resigned = stepControl(leader, { type: 'resign', at: 1, chance: 0 }).replica;
  const command = { type: 'claim' as const, key: 'l', exchange: 'e', atUs: 0 };
  const refused = stepControl(resigned, { type: 'propose', at: 2, requestId: 'r', command });
  assert.equal(refused.effects, [{ type: 'reply', requestId: 'r', reply: { type: 'not-leader', leader: undefined } }]);
  const afterDeadline = stepControl(resigned, { type: 'tick', at: 600_000, chance: 0 });
  assert.equal([afterDeadline.replica.role, successorsIn(afterDeadline.effects)], ['leader', []]);
  const accepted = stepControl(afterDeadline.replica, { type: 'propose', at: 600_001, requestId: 's', command });
  assert.ok(accepted.replica.entries.some((entry) => entry.command.type === 'claim' && entry.command.key === 'l'));
});

test('a sole voter has no successor and remains leader', () => {
  const command = { type: 'members' as const, members: [{ identity: 'a', address: 'a:1', voter: true }] };
  const sole: Replica = { ...initialLeader, entries: [{ index: 1, term: 4, command }], progress: new Map() };
  const resigned = stepControl(sole, { type: 'resign', at: 1, chance: 0 });
  assert.equal([resigned.replica.role, successorsIn(resigned.effects)], ['leader', []]);
});

test.run();
