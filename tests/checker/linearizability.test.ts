import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRegister } from '../../src/rehearsal/checker/linearizability/check-register.js';
import type { OrderAnswer, RegisterOperation } from '../../src/rehearsal/checker/linearizability/register-operation.js';

type Span = readonly [calledUs: number, answeredUs: number];

const order = (
  [calledUs, answeredUs]: Span,
  version: number,
  text: string,
  base: number,
  answer: OrderAnswer,
): RegisterOperation => ({
  type: 'order',
  client: 'operator',
  calledUs,
  answeredUs,
  value: { version, text },
  base,
  answer,
});

const read = ([calledUs, answeredUs]: Span, version: number, text?: string): RegisterOperation => ({
  type: 'read',
  client: 'reader',
  calledUs,
  answeredUs,
  value: { version, text },
});

const verdictOf = (...history: readonly RegisterOperation[]): string => checkRegister(history).type;

test('orders and reads one after another are linearizable', () => {
  assert.is(
    verdictOf(
      read([0, 1], 0),
      order([2, 3], 1, 'a', 0, 'committed'),
      read([4, 5], 1, 'a'),
      order([6, 7], 5, 'b', 1, 'committed'),
      order([8, 9], 6, 'c', 1, 'conflict'),
      read([10, 11], 5, 'b'),
    ),
    'linearizable',
  );
});

test('operations at the same time may be explained in either order', () => {
  assert.is(
    verdictOf(
      order([0, 10], 1, 'a', 0, 'committed'),
      read([1, 9], 0),
      read([1, 9], 1, 'a'),
      order([2, 12], 2, 'b', 0, 'conflict'),
    ),
    'linearizable',
  );
});

test('a conflict is right only while the base is not in force', () => {
  assert.is(verdictOf(order([0, 1], 1, 'a', 0, 'conflict')), 'violation');
  assert.is(
    verdictOf(order([0, 1], 1, 'a', 0, 'committed'), order([2, 3], 2, 'b', 1, 'conflict'), read([4, 5], 1, 'a')),
    'violation',
  );
});

test('an unknown order may take effect at any later moment, or never', () => {
  const unknown = order([0, 1], 1, 'a', 0, 'unknown');
  assert.is(verdictOf(unknown, read([2, 3], 0), read([4, 5], 1, 'a')), 'linearizable');
  assert.is(verdictOf(unknown, read([2, 3], 0), read([4, 5], 0)), 'linearizable');
  assert.is(verdictOf(unknown, read([2, 3], 1, 'a'), read([4, 5], 0)), 'violation');
  assert.is(verdictOf(read([-2, -1], 1, 'a'), unknown), 'violation');
});

test('of two unknown orders under one number either may stand, but not both', () => {
  const rivals = [order([0, 1], 1, 'a', 0, 'unknown'), order([0, 1], 1, 'b', 0, 'unknown')];
  assert.is(verdictOf(...rivals, read([2, 3], 1, 'a')), 'linearizable');
  assert.is(verdictOf(...rivals, read([2, 3], 1, 'b')), 'linearizable');
  assert.is(verdictOf(...rivals, read([2, 3], 1, 'a'), read([4, 5], 1, 'b')), 'violation');
});

test('a stale read is found', () => {
  assert.is(verdictOf(order([0, 1], 1, 'a', 0, 'committed'), read([2, 3], 0)), 'violation');
  assert.is(verdictOf(order([0, 9], 1, 'a', 0, 'committed'), read([1, 2], 1, 'a'), read([3, 4], 0)), 'violation');
});

test('two commits under one number are found', () => {
  assert.is(verdictOf(order([0, 9], 1, 'a', 0, 'committed'), order([0, 9], 1, 'b', 0, 'committed')), 'violation');
});

test('two commits on one base are found, also with other numbers', () => {
  assert.is(verdictOf(order([0, 9], 1, 'a', 0, 'committed'), order([0, 9], 2, 'b', 0, 'committed')), 'violation');
});

test('a repeat is committed again however late, and a refused repeat is found', () => {
  const first = [order([0, 1], 1, 'a', 0, 'committed'), order([2, 3], 2, 'b', 1, 'committed')];
  assert.is(verdictOf(...first, order([4, 5], 1, 'a', 0, 'committed'), read([6, 7], 2, 'b')), 'linearizable');
  assert.is(verdictOf(...first, order([4, 5], 1, 'a', 0, 'conflict')), 'violation');
});

test('a repeat that is committed although the first one never took effect is found', () => {
  assert.is(
    verdictOf(
      order([0, 1], 1, 'a', 0, 'committed'),
      order([2, 3], 1, 'b', 0, 'conflict'),
      order([4, 5], 1, 'b', 0, 'committed'),
    ),
    'violation',
  );
});

test('a lost acknowledged order is found', () => {
  assert.is(
    verdictOf(order([0, 1], 1, 'a', 0, 'committed'), order([2, 3], 1, 'b', 0, 'committed'), read([4, 5], 1, 'b')),
    'violation',
  );
  assert.is(
    verdictOf(order([0, 1], 1, 'a', 0, 'committed'), order([2, 3], 2, 'b', 1, 'unknown'), read([4, 5], 0)),
    'violation',
  );
});

test('a read of a refused order is found', () => {
  assert.is(
    verdictOf(order([0, 1], 1, 'a', 0, 'committed'), order([2, 3], 2, 'b', 0, 'conflict'), read([4, 5], 2, 'b')),
    'violation',
  );
  assert.is(verdictOf(read([0, 1], 3, 'nobody sent this')), 'violation');
});

test('a long history with a doubt at each step is decided, and one wrong read in it is found', () => {
  const steps = 1_000;
  const history = Array.from({ length: steps }, (_, place): readonly RegisterOperation[] => {
    const atUs = place * 100;
    return [
      order([atUs, atUs + 50], place + 1, 'a', place, 'unknown'),
      order([atUs, atUs + 50], place + 1, 'b', place, 'unknown'),
      order([atUs + 20, atUs + 90], place + 1, place % 3 === 0 ? 'a' : 'b', place, 'committed'),
      read([atUs + 95, atUs + 96], place + 1, place % 3 === 0 ? 'a' : 'b'),
    ];
  }).flat();
  assert.is(checkRegister(history).type, 'linearizable');
  assert.is(checkRegister([...history, read([steps * 100, steps * 100 + 1], 700, 'b')]).type, 'violation');
});

test('a search that reaches its bound says so', () => {
  const rivals = Array.from({ length: 20 }, (_, place) => order([0, 1], place + 1, `text ${place}`, 0, 'unknown'));
  assert.equal(checkRegister([...rivals, read([2, 3], 99, 'none of them')], 5).type, 'undecided');
});

test.run();
