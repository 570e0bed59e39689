import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openEventSplitter } from '../../platform/server/event-splitter.js';

type Told = readonly (readonly [string, number | undefined])[];

const split = (chunks: readonly string[]): { readonly told: Told; readonly hasRest: boolean } => {
  const told: (readonly [string, number | undefined])[] = [];
  const splitter = openEventSplitter(
    (event, number) => void told.push([Buffer.from(event).toString('latin1'), number]),
  );
  for (const chunk of chunks) splitter.put(Buffer.from(chunk, 'latin1'));
  return { told, hasRest: splitter.hasIncompleteEvent() };
};

const cutEverywhere = (events: Told): void => {
  const text = events.map(([event]) => event).join('');
  assert.equal(split([text]), { told: events, hasRest: false });
  assert.equal(split([...text]), { told: events, hasRest: false });
  for (let first = 0; first <= text.length; first += 1)
    for (let second = first; second <= text.length; second += 3)
      assert.equal(
        split([text.slice(0, first), text.slice(first, second), text.slice(second)]).told,
        events,
        `${first} ${second}`,
      );
};

test('events are cut out wherever their bytes are cut', () =>
  cutEverywhere([
    ['id: 1\ndata: a\n\n', 1],
    ['data: no id\n\n', undefined],
    ['ledgehill-weight-versions: 2\nid: 22\ndata: {"id": 9}\n\n', 22],
    ['event: x\nid:7\ndata: \x00\xff\n\n', 7],
  ]));

test('line ends of two bytes are kept', () =>
  cutEverywhere([
    ['id: 1\r\ndata: a\r\n\r\n', 1],
    ['data: b\r\nid: 2\r\n\r\n', 2],
    ['id: 3\ndata: c\n\n', 3],
  ]));

test('a field whose name only ends in id, and an id that is no number, are none', () =>
  cutEverywhere([
    ['grid: 4\ndata: id: 5\n\n', undefined],
    ['id: five\ndata: x\n\n', undefined],
    ['id: -1\n\n', undefined],
  ]));

test('bytes after the last whole event are a rest', () => {
  assert.equal(split(['id: 1\n\nid: 2\n']), { told: [['id: 1\n\n', 1]], hasRest: true });
  assert.equal(split([]), { told: [], hasRest: false });
});

test('an event of a megabyte in small pieces takes no time that grows with its square', () => {
  const begunUs = process.hrtime.bigint();
  const chunks = Array.from({ length: 16_384 }, () => 'x'.repeat(64));
  const { told } = split(['id: 1\ndata: ', ...chunks, '\n\n']);
  assert.is(told.length, 1);
  const spanMs = Number(process.hrtime.bigint() - begunUs) / 1e6;
  assert.ok(spanMs < 1_000, `${spanMs} ms`);
});

test.run();
