import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { maxIdBytes } from '../../src/router/event-stream/event-splitter.js';
import {
  positionAfter,
  startPosition,
  type ResumePoint,
  type StreamPosition,
} from '../../src/router/event-stream/stream-position.js';

type Id = string | undefined;

const after = (ids: readonly Id[], lastEventId?: string): StreamPosition =>
  ids.reduce<StreamPosition>(
    (position, id) => positionAfter(position, { hasData: true, id }, false).unsafeCoerce(),
    startPosition(lastEventId),
  );

const isNext = (position: StreamPosition, id: Id, isContinuation = false): boolean =>
  positionAfter(position, { hasData: true, id }, isContinuation).isRight();

const resumeAfter = (id: string): ResumePoint => ({ type: 'after', id });
const unknown: ResumePoint = { type: 'unknown' };

const resumePoints: readonly (readonly [string, readonly Id[], Id, ResumePoint])[] = [
  ['nothing passed on', [], undefined, { type: 'start' }],
  ["nothing passed on of a client's continuation", [], 'anything', { type: 'start' }],
  ['the last event has an ID', ['1', '2'], undefined, resumeAfter('2')],
  ['sixteen digits', ['1765000000000001'], undefined, resumeAfter('1765000000000001')],
  ['nineteen digits', ['9999999999999999999'], undefined, resumeAfter('9999999999999999999')],
  ['padded with zeros', ['0007', '0008'], undefined, resumeAfter('0008')],
  ['no number', ['a', 'b/\xff ~'], undefined, resumeAfter('b/\xff ~')],
  ['no event has an ID', [undefined, undefined], undefined, unknown],
  ['an event without an ID after the last ID', ['1', undefined], undefined, unknown],
  ['an ID after an event without one', [undefined, '2'], undefined, resumeAfter('2')],
  ['an empty ID', ['1', ''], undefined, unknown],
  ['an ID that a header changes', ['1', ' 2'], undefined, unknown],
  ['an ID that no header carries', ['1', '2\x07'], undefined, unknown],
  ['an ID that is too long for a header', ['1', '2'.repeat(maxIdBytes + 1)], undefined, unknown],
];

for (const [name, ids, lastEventId, point] of resumePoints)
  test(`where a stream goes on: ${name}`, () => assert.equal(after(ids, lastEventId).resumePoint, point));

const orders: readonly (readonly [string, readonly Id[], Id, Id, boolean, boolean])[] = [
  ['a number that rises', ['1', '2'], undefined, '3', false, true],
  ['a number that comes twice', ['1', '2'], undefined, '2', false, false],
  ['a number that falls', ['5', '6'], undefined, '3', false, false],
  ['above 2^53, one apart', ['9007199254740992'], undefined, '9007199254740993', false, true],
  ['above 2^53, the same number', ['9007199254740993'], undefined, '9007199254740993', false, false],
  ['the same number, padded', ['7'], undefined, '0007', false, false],
  ['not above what the client has', [], '9007199254740993', '9007199254740992', false, false],
  ['a text that comes twice', ['a', 'b'], undefined, 'a', false, false],
  ['a text that the client has', [], 'a', 'a', false, false],
  ['a new text', ['a', 'b'], undefined, 'c', false, true],
  ['an event without an ID', ['1'], undefined, undefined, false, true],
  ['a continuation at the next number', ['1', '2'], undefined, '3', true, true],
  ['a continuation that begins before its place', ['1', '2'], undefined, '1', true, false],
  ['a continuation that leaves an event out', ['1', '2'], undefined, '4', true, false],
  ['a continuation of numbers that do not count', ['10', '20'], undefined, '40', true, true],
  ['a continuation of which one number is known', ['10'], undefined, '20', true, true],
  ['a continuation of texts that begins before its place', ['a', 'b'], undefined, 'a', true, false],
  ['a continuation without an ID, where all had one', ['1', '2'], undefined, undefined, true, false],
  ['a continuation without an ID, where not all had one', ['1', undefined, '2'], undefined, undefined, true, true],
];

for (const [name, ids, lastEventId, next, isContinuation, isExpected] of orders)
  test(`${name} is ${isExpected ? '' : 'not '}passed on`, () =>
    assert.is(isNext(after(ids, lastEventId), next, isContinuation), isExpected));

test('a block without data that repeats the ID of the last event changes nothing', () => {
  const position = after(['1', '2']);
  assert.is(positionAfter(position, { hasData: false, id: '2' }, false).unsafeCoerce(), position);
  assert.ok(positionAfter(position, { hasData: false, id: '1' }, false).isLeft());
  const told = positionAfter(position, { hasData: false, id: '3' }, false).unsafeCoerce();
  assert.equal(told.resumePoint, resumeAfter('3'));
});

test('IDs that are no numbers are remembered up to a bound; beyond it the stream is not resumed', () => {
  const ids = Array.from({ length: 100 }, (_, place) => `${place}`.padEnd(1_000, 'x'));
  const position = after(ids);
  assert.equal(position.resumePoint, unknown);
  assert.ok(position.texts.size < 20);
  assert.equal(after([...ids, '1']).resumePoint, unknown);
});

test('of any numbers of any length, those are passed on that rise', () => {
  const digits = fc.stringMatching(/^[0-9]{1,40}$/);
  fc.assert(
    fc.property(fc.array(digits, { maxLength: 12 }), (ids) => {
      let position = startPosition(undefined);
      let highest = -1n;
      for (const id of ids) {
        const next = positionAfter(position, { hasData: true, id }, false);
        assert.is(next.isRight(), BigInt(id) > highest);
        if (next.isLeft()) return;
        position = next.unsafeCoerce();
        highest = BigInt(id);
        assert.equal(position.resumePoint, resumeAfter(id));
      }
    }),
  );
});

test.run();
