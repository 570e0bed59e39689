import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlEffect } from '../../src/control/machine/control-effect.js';
import type { ControlEvent } from '../../src/control/machine/control-event.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { initialProgress } from '../../src/control/machine/replication.js';
import { stepControl } from '../../src/control/machine/step.js';

const term = 4;

const leader = (lastTerm: number): Replica => {
  const replica: Replica = {
    ...createReplica('a', 'a:1', ['a:1', 'b:1', 'c:1']),
    role: 'leader',
    leader: 'a',
    term,
    commit: 1,
    entries: [
      {
        index: 1,
        term: lastTerm,
        command: {
          type: 'members',
          members: ['a', 'b', 'c'].map((identity) => ({ identity, address: `${identity}:1`, voter: true })),
        },
      },
    ],
  };
  return { ...replica, progress: new Map(['b', 'c'].map((identity) => [identity, initialProgress(replica)])) };
};

const readEvent: ControlEvent = { type: 'read', at: 1, requestId: 'r', proposal: undefined };

const acknowledgement = (round: number, ackTerm = term, from = 'b', index = 1): ControlEvent => ({
  type: 'message',
  at: 2,
  chance: 0,
  from,
  message: { type: 'appendReply', term: ackTerm, matches: true, index, round },
});

const repliesAfter = (start: Replica, events: readonly ControlEvent[]): readonly string[] => {
  let replica = start;
  const effects: ControlEffect[] = [];
  for (const event of events) {
    const step = stepControl(replica, event);
    replica = step.replica;
    effects.push(...step.effects);
  }
  return effects.flatMap((effect) => (effect.type === 'reply' ? [effect.reply.type] : []));
};

test('a read waits until a majority has acknowledged a round that began after it, in the same term', () => {
  const start = leader(term);
  const readRound = stepControl(start, readEvent).replica.round;
  assert.equal(repliesAfter(start, [readEvent]), []);
  assert.equal(repliesAfter(start, [readEvent, acknowledgement(readRound - 1)]), [], 'an earlier round');
  assert.equal(repliesAfter(start, [readEvent, acknowledgement(readRound, term - 1)]), [], 'an earlier term');
  assert.equal(repliesAfter(start, [readEvent, acknowledgement(readRound, term, 'x')]), [], 'not a member');
  assert.equal(repliesAfter(start, [readEvent, acknowledgement(readRound)]), ['record']);
  assert.equal(repliesAfter(start, [acknowledgement(readRound - 1), readEvent]), [], 'acknowledged before the read');
});

test('a leader answers no read before it has committed an entry of its own term', () => {
  const start = leader(term - 1);
  const readRound = stepControl(start, readEvent).replica.round;
  assert.equal(repliesAfter(start, [readEvent, acknowledgement(readRound), acknowledgement(readRound, term, 'c')]), []);
});

test('a read that is unconfirmed when its leader steps down gets the reply not-leader', () => {
  const replies = repliesAfter(leader(term), [readEvent, acknowledgement(1, term + 1)]);
  assert.equal(replies, ['not-leader']);
});

test.run();
