import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { startReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';

const seeds = ['a:1', 'b:1', 'c:1'];
const formerOffer = 'a@a:1,b@b:1,c3@c:1';
const newerOffer = 'a@a:1,b@b:1,c4@c:1';

/** A seed that has bound itself to the machines that live now, of which one has replaced a former life. */
const bound: Replica = { ...startReplica('a', 'a:1', seeds), offer: newerOffer };

const hear = (replica: Replica, from: string, message: ControlMessage): Replica =>
  stepControl(replica, { type: 'message', at: 1, chance: 0, from, message }).replica;

const formerEntry: LogEntry = {
  index: 1,
  term: 0,
  command: {
    type: 'members',
    members: ['a@a:1', 'b@b:1', 'c3@c:1'].map((text) => {
      const [identity = '', address = ''] = text.split('@');
      return { identity, address, voter: true };
    }),
  },
};

const append = (commit: number): ControlMessage => ({
  type: 'append',
  term: 1,
  previousIndex: 0,
  previousTerm: 0,
  entries: [formerEntry],
  commit,
  round: 1,
});

const foundedBy = (identity: string, address: string): ControlMessage => ({
  type: 'probeReply',
  identity,
  address,
  founded: true,
  founds: true,
  nonce: 'n',
  offer: formerOffer,
});

test('a bound seed follows a core of a former binding only where its own can no longer be founded', () => {
  const entriesAfter = (from: string, message: ControlMessage): number => hear(bound, from, message).entries.length;
  assert.is(entriesAfter('c3', append(0)), 0, 'an append of a former life, of a core that has committed nothing');
  assert.is(entriesAfter('c3', append(1)), 1, 'that core has committed');
  assert.is(entriesAfter('b', append(0)), 1, 'led by a machine that the binding names');
  assert.is(entriesAfter('c3', foundedBy('c3', 'c:1')), 0, 'the word of a former life');
  assert.is(entriesAfter('b', foundedBy('b', 'b:1')), 1, 'the word of a machine that the binding names');
});

test('only the first reply to the newest question tells which life an address has', () => {
  const asking: Replica = { ...startReplica('a', 'a:1', seeds), probeNonce: 'new' };
  const reply = (identity: string, nonce: string, type: 'probe' | 'probeReply' = 'probeReply'): ControlMessage => ({
    type,
    identity,
    address: 'c:1',
    founded: false,
    founds: true,
    nonce,
  });
  const seenAfter = (...messages: readonly ControlMessage[]): string | undefined =>
    messages.reduce((replica, message) => hear(replica, 'c', message), asking).probes.get('c:1')?.identity;
  assert.is(seenAfter(reply('c3', 'old')), undefined, 'an older question');
  assert.is(seenAfter(reply('c4', 'new'), reply('c3', 'new')), 'c4', 'a second reply');
  assert.is(seenAfter(reply('c3', 'new', 'probe')), undefined, 'a question is no reply');
});

test.run();
