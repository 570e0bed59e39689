import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { isComplete, appendPiece, type PartialSnapshot } from '../../src/control/machine/partial-snapshot.js';
import { createReplica, emptySnapshot } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import { maxSnapshotPieceChars } from '../../src/control/machine/parameters.js';
import { isPlainMessage } from '../../src/control/wire/message-codec.js';
import { decodeSnapshotText, encodeSnapshotText, maxSnapshotChars } from '../../src/control/wire/snapshot-text.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

type Piece = Extract<ControlMessage, { readonly type: 'installSnapshot' }>;

const text = 'abcdefghi';
const piece = (offset: number, change: Partial<Piece> = {}): Piece => ({
  type: 'installSnapshot',
  term: 3,
  snapshotIndex: 50,
  snapshotTerm: 2,
  offset,
  total: text.length,
  digest: 'd'.repeat(64),
  piece: text.slice(offset, offset + 3),
  round: 1,
  ...change,
});

const after = (pieces: readonly Piece[]): PartialSnapshot | undefined =>
  pieces.reduce<PartialSnapshot | undefined>(appendPiece, undefined);

test('duplicated, delayed and early pieces leave the received text without a gap', () => {
  assert.is(after([piece(0), piece(0), piece(6), piece(3), piece(0), piece(3)])?.text, 'abcdef');
  const complete = after([piece(0), piece(3), piece(6)]);
  assert.ok(complete !== undefined && complete.text === text && isComplete(complete));
});

test('a piece of another snapshot or another term discards the received text, and is never appended to it', () => {
  const changes: readonly Partial<Piece>[] = [
    { term: 4 },
    { snapshotIndex: 51 },
    { snapshotTerm: 3 },
    { total: 12 },
    { digest: 'e'.repeat(64) },
  ];
  for (const change of changes) {
    assert.is(after([piece(0), piece(3), piece(6, change)])?.text, '', JSON.stringify(change));
    assert.is(after([piece(0), piece(3), piece(0, change)])?.text, 'abc', JSON.stringify(change));
  }
});

test('a delayed piece of an older snapshot of the same term is ignored', () => {
  assert.is(after([piece(0), piece(3), piece(0, { snapshotIndex: 49 })])?.text, 'abcdef');
});

test('a piece that exceeds the total is ignored', () => {
  assert.is(after([piece(0), piece(3), piece(6, { piece: 'ghij' })])?.text, 'abcdef');
});

test('the message guard refuses pieces and totals outside their limits', () => {
  assert.ok(isPlainMessage(piece(0)));
  for (const change of [
    { piece: '' },
    { piece: 'x'.repeat(maxSnapshotPieceChars + 1) },
    { total: 0 },
    { total: maxSnapshotChars + 1 },
    { digest: 'short' },
    { offset: -1 },
  ])
    assert.not.ok(isPlainMessage(piece(0, change)), Object.keys(change)[0]);
});

test('a complete text that does not match its digest is dropped, and requested again from the start', () => {
  const encoded = encodeSnapshotText({ ...emptySnapshot, index: 50, term: 2 });
  const complete = piece(0, { piece: encoded.text, total: encoded.text.length, digest: 'f'.repeat(64) });
  const step = stepControl(createReplica('a', 'a:1', []), {
    type: 'message',
    at: 1,
    chance: 0,
    from: 'b',
    message: complete,
  });
  const reply = step.effects.flatMap((effect) => (effect.type === 'send' ? [effect.message] : []))[0];
  assert.ok(reply?.type === 'installSnapshotReply' && reply.received === 0);
  assert.equal([step.replica.partialSnapshot, step.replica.commit], [undefined, 0]);
});

test('the encoded text is ASCII, and decodes to the same snapshot', () => {
  const original = { version: 1, text: 'größe = "≥ 3 🚚"\n' };
  const record = { revision: 1, takenAtUs: 1, setup: sampleSetup('é'), original, epochs: [] };
  const snapshot = { ...emptySnapshot, index: 7, term: 2, state: { ...emptySnapshot.state, record } };
  const { text: encodedText, digest } = encodeSnapshotText(snapshot);
  assert.ok([...encodedText].every((char) => char <= '\u007f'));
  assert.equal(decodeSnapshotText(encodedText, digest).unsafeCoerce(), snapshot);
});

test.run();
