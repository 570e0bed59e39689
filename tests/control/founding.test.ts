import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';

const seeds = ['a:1', 'b:1', 'c:1'];
const earlierOffer = 'a@a:1,b@b:1,c3@c:1';
const ownOffer = 'a@a:1,b@b:1,c4@c:1';

/** A seed whose offer names the current nodes, one of which has replaced an earlier identity at its address. */
const seedWithOffer: Replica = { ...createReplica('a', 'a:1', seeds), offer: ownOffer };

const receive = (replica: Replica, from: string, message: ControlMessage): Replica =>
  stepControl(replica, { type: 'message', at: 1, chance: 0, from, message }).replica;

const earlierEntry: LogEntry = {
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
  entries: [earlierEntry],
  commit,
  round: 1,
});

const replyOfBootstrapped = (identity: string, address: string): ControlMessage => ({
  type: 'probeReply',
  identity,
  address,
  founded: true,
  founds: true,
  nonce: 'n',
  offer: earlierOffer,
});

test('a seed with an offer follows a core of an earlier offer only if a core of its own offer can no longer start', () => {
  const entriesAfter = (from: string, message: ControlMessage): number =>
    receive(seedWithOffer, from, message).entries.length;
  assert.is(entriesAfter('c3', append(0)), 0, 'an append of an earlier identity, of a core that has committed nothing');
  assert.is(entriesAfter('c3', append(1)), 1, 'the core has committed entries');
  assert.is(entriesAfter('b', append(0)), 1, 'led by a member of the own offer');
  assert.is(entriesAfter('c3', replyOfBootstrapped('c3', 'c:1')), 0, 'a probe reply of an earlier identity');
  assert.is(entriesAfter('b', replyOfBootstrapped('b', 'b:1')), 1, 'a probe reply of a member of the own offer');
});

test('only the first reply to the last probe decides which identity an address has', () => {
  const probing: Replica = { ...createReplica('a', 'a:1', seeds), probeNonce: 'new' };
  const reply = (identity: string, nonce: string, type: 'probe' | 'probeReply' = 'probeReply'): ControlMessage => ({
    type,
    identity,
    address: 'c:1',
    founded: false,
    founds: true,
    nonce,
  });
  const identityAfter = (...messages: readonly ControlMessage[]): string | undefined =>
    messages.reduce((replica, message) => receive(replica, 'c', message), probing).probes.get('c:1')?.identity;
  assert.is(identityAfter(reply('c3', 'old')), undefined, 'a reply to an earlier probe');
  assert.is(identityAfter(reply('c4', 'new'), reply('c3', 'new')), 'c4', 'a second reply to the last probe');
  assert.is(identityAfter(reply('c3', 'new', 'probe')), undefined, 'a probe is not a reply');
});

test.run();
