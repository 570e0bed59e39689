import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { startReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';
import { decodeDurableRecords, encodeDurableRecords } from '../../src/control/wire/durable-record-codec.js';
import { maxOrderHistoryBytes } from '../../src/control/wire/order-history-codec.js';
import { maxRememberedDocuments } from '../../src/control/state/document-history.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const setup = sampleSetup('first');
const second = 1_000_000;

type Order = { readonly version: number; readonly expected: number; readonly text?: string; readonly atUs?: number };

const commandOf = ({ version, expected, text = `document ${version}`, atUs = 1 }: Order): Command => ({
  type: 'setup',
  proposal: `original-${version}-${createHash('sha256').update(text).digest('hex').slice(0, 32)}`,
  expected,
  setup,
  original: { version, text },
  atUs,
});

const outcomeOf = (state: ReplicatedState, command: Command): string => {
  const { outcome } = applyCommand(state, command);
  return outcome.type === 'proposal' ? outcome.outcome.type : outcome.type;
};

const repeatOf = (state: ReplicatedState, order: Order): string => outcomeOf(state, commandOf(order));

const afterOrders = (orders: readonly Order[], start: ReplicatedState = startReplicatedState): ReplicatedState =>
  orders.reduce((state, order) => applyCommand(state, commandOf(order)).state, start);

/** Versions 1 to a last one, each on top of the one before. */
const afterChanges = (count: number): ReplicatedState =>
  afterOrders(Array.from({ length: count }, (_, place) => ({ version: place + 1, expected: place })));

const afterSnapshot = (state: ReplicatedState): ReplicatedState => {
  const snapshot = { index: 1, term: 1, members: [], state };
  const [record] = decodeDurableRecords(encodeDurableRecords([{ type: 'snapshot', snapshot }])).unsafeCoerce();
  return record?.type === 'snapshot' ? record.snapshot.state : startReplicatedState;
};

test('a repeat thousands of changes later is acknowledged again, also after a snapshot and with a stale base', () => {
  const state = afterChanges(3_000);
  for (const known of [state, afterSnapshot(state)]) {
    for (const version of [1, 2, 1_500, 2_999, 3_000])
      for (const expected of [version - 1, 0, 77_777])
        assert.is(repeatOf(known, { version, expected }), 'committed', `${version} on ${expected}`);
    assert.is(applyCommand(known, commandOf({ version: 1, expected: 0 })).state.record?.revision, 3_000);
  }
});

test('a number that was committed is never acknowledged with another text, however long ago', () => {
  const state = afterSnapshot(afterChanges(3_000));
  for (const version of [1, 1_500, 3_000])
    for (const text of ['document', `document ${version} `, `document ${version}\n`, ''])
      for (const expected of [version - 1, 3_000])
        assert.is(repeatOf(state, { version, expected, text }), 'conflict', `${version} on ${expected}: ${text}`);
});

test('of two texts under one number exactly one is committed, whatever the order and the base', () => {
  for (const [first, other] of [
    ['one', 'other'],
    ['other', 'one'],
  ] as const) {
    const state = afterOrders([{ version: 7, expected: 0, text: first }]);
    for (const expected of [0, 7]) {
      assert.is(repeatOf(state, { version: 7, expected, text: other }), 'conflict');
      assert.is(repeatOf(state, { version: 7, expected, text: first }), 'committed');
    }
  }
});

test('a document that lost its race stays a conflict until it is sent on top of the right version', () => {
  const state = afterSnapshot(
    afterOrders([
      { version: 3, expected: 0 },
      { version: 5, expected: 0 },
      { version: 4, expected: 3 },
    ]),
  );
  assert.is(repeatOf(state, { version: 5, expected: 0 }), 'conflict');
  assert.is(repeatOf(state, { version: 5, expected: 3 }), 'conflict');
  assert.is(repeatOf(state, { version: 5, expected: 4 }), 'committed');
});

test('an order that was refused before its base was current is not committed by a copy that stood behind it', () => {
  const early = { version: 9, expected: 7 };
  const refused = afterOrders([{ version: 3, expected: 0 }, early]);
  const state = afterSnapshot(afterOrders([{ version: 7, expected: 3 }], refused));
  assert.is(repeatOf(state, early), 'conflict');
  assert.is(repeatOf(state, { version: 10, expected: 7 }), 'committed');
  assert.is(repeatOf(state, { ...early, atUs: 11 * second }), 'committed', 'a new call much later');
});

test('a forgotten document gets no definite outcome, and a remembered number still a conflict', () => {
  const state = afterSnapshot(afterChanges(maxRememberedDocuments + 10));
  for (const version of [1, 10]) {
    assert.is(repeatOf(state, { version, expected: version - 1 }), 'forgotten');
    assert.is(repeatOf(state, { version, expected: version - 1, text: 'other' }), 'forgotten');
  }
  assert.is(repeatOf(state, { version: 11, expected: 0 }), 'committed');
  assert.is(repeatOf(state, { version: 11, expected: 0, text: 'other' }), 'conflict');
  const bytes = encodeDurableRecords([{ type: 'snapshot', snapshot: { index: 1, term: 1, members: [], state } }]);
  assert.ok(bytes.length < maxOrderHistoryBytes, `${bytes.length} bytes`);
  assert.ok(bytes.length < maxRememberedDocuments * 60, `${bytes.length} bytes`);
});

test('proposals with ids of their own are known thousands of changes later, and forgotten without a false conflict', () => {
  const proposalAt = (place: number, proposal = `p${place}`): Command => ({
    type: 'setup',
    proposal,
    expected: place,
    setup,
    atUs: 1,
  });
  const after = (count: number): ReplicatedState =>
    Array.from({ length: count }, (_, place) => proposalAt(place)).reduce(
      (state, command) => applyCommand(state, command).state,
      startReplicatedState,
    );
  assert.is(outcomeOf(afterSnapshot(after(2_000)), proposalAt(0)), 'committed');
  const long = afterSnapshot(after(5_000));
  assert.is(outcomeOf(long, proposalAt(0)), 'forgotten');
  assert.is(outcomeOf(long, proposalAt(4_999)), 'committed');
  assert.is(outcomeOf(long, proposalAt(4_998, 'other')), 'conflict');
});

test('a cancelled document is never committed, and a committed one is not cancelled', () => {
  const cancel = (order: Order): Command => {
    const command = commandOf(order);
    return { type: 'void', proposal: command.type === 'setup' ? command.proposal : '' };
  };
  const order = { version: 3, expected: 0 };
  const cancelled = afterSnapshot(applyCommand(startReplicatedState, cancel(order)).state);
  assert.is(repeatOf(cancelled, order), 'cancelled');
  assert.is(outcomeOf(afterSnapshot(afterOrders([order, { version: 4, expected: 3 }])), cancel(order)), 'committed');
});

test('after the loss of all disks documents of the lost core get no false conflict', () => {
  const lost = afterChanges(20);
  const { record } = lost;
  assert.ok(record !== undefined);
  const restored = applyCommand(startReplicatedState, { type: 'restore', record }).state;
  assert.is(repeatOf(restored, { version: 20, expected: 19 }), 'committed');
  assert.is(repeatOf(restored, { version: 12, expected: 11 }), 'forgotten');
  assert.is(repeatOf(restored, { version: 20, expected: 19, text: 'other' }), 'conflict');
  assert.is(repeatOf(restored, { version: 21, expected: 19 }), 'conflict');
  assert.is(repeatOf(restored, { version: 21, expected: 20 }), 'committed');
});

test.run();
