import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { maxIdBytes, openEventSplitter } from '../../src/router/event-stream/event-splitter.js';

type Told = readonly (readonly [string, string | undefined])[];

const textOf = (chunks: readonly Uint8Array[]): string => Buffer.concat(chunks).toString('latin1');

const split = (
  chunks: readonly string[],
  isContinuation = false,
): { readonly told: Told; readonly hasRest: boolean; readonly withData: readonly boolean[] } => {
  const told: (readonly [string, string | undefined])[] = [];
  const withData: boolean[] = [];
  const splitter = openEventSplitter(isContinuation, (block) => {
    const text = textOf(block.chunks);
    const last = told.at(-1);
    // The LF of a CR LF may come after the block that its CR ended.
    if (text === '\n' && last?.[0].endsWith('\r') === true) told[told.length - 1] = [`${last[0]}\n`, last[1]];
    else {
      told.push([text, block.id]);
      withData.push(block.hasData);
    }
  });
  for (const chunk of chunks) splitter.put(Buffer.from(chunk, 'latin1'));
  return { told, hasRest: splitter.heldBytes() > 0, withData };
};

const cutEverywhere = (events: Told): void => {
  const text = events.map(([event]) => event).join('');
  const whole = split([text]);
  assert.equal([whole.told, whole.hasRest], [events, false]);
  const single = split([...text]);
  assert.equal([single.told, single.hasRest], [events, false]);
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
    ['id: 1\ndata: a\n\n', '1'],
    ['data: no id\n\n', undefined],
    ['ledgehill-weight-versions: 2\nid: 22\ndata: {"id": 9}\n\n', '22'],
    ['event: x\nid:7\ndata: \x00\xff\n\n', '7'],
  ]));

test('line ends of each kind, also mixed, are kept', () => {
  cutEverywhere([
    ['id: 1\r\ndata: a\r\n\r\n', '1'],
    ['data: b\r\nid: 2\r\n\r\n', '2'],
    ['id: 3\ndata: c\n\n', '3'],
  ]);
  cutEverywhere([
    ['id: 1\rdata: a\r\r', '1'],
    ['id: 2\r\ndata: b\n\r', '2'],
    ['id: 3\ndata: c\r\n\n', '3'],
    ['data: d\rid: 4\r\n\r\n', '4'],
  ]);
});

test('an event whose blank line is a CR is told before another byte comes', () => {
  assert.equal(split(['id: 1\rdata: a\r\r']).told, [['id: 1\rdata: a\r\r', '1']]);
  assert.equal(split(['id: 1\r\ndata: a\r\n\r']), {
    told: [['id: 1\r\ndata: a\r\n\r', '1']],
    hasRest: false,
    withData: [true],
  });
});

test('a field whose name only ends in id is none; an id is told as its server wrote it', () =>
  cutEverywhere([
    ['grid: 4\ndata: id: 5\n\n', undefined],
    ['id: five\ndata: x\n\n', 'five'],
    ['id: -1\n\n', '-1'],
    ['id: 0001765000000000001\n\n', '0001765000000000001'],
    ['id:  \xff 9 \n\n', ' \xff 9 '],
    ['id\n\n', ''],
    ['idx: 1\ni\n\n', undefined],
  ]));

test('the last id of an event counts, and one with a NUL is ignored', () =>
  cutEverywhere([
    ['id: 1\nid: 2\ndata: x\n\n', '2'],
    ['id: 3\nid: 4\x00\ndata: x\n\n', '3'],
    ['id: 5\nid\ndata: x\n\n', ''],
  ]));

test('comments and blocks without data are told apart from events', () => {
  const { told, withData } = split([
    ': id: 1\n\n\n',
    'event: x\nretry: 10\n\n',
    'data\n\n',
    'data:\n\n',
    'database: x\n\n',
  ]);
  assert.equal(
    told.map(([text]) => text),
    [': id: 1\n\n', '\n', 'event: x\nretry: 10\n\n', 'data\n\n', 'data:\n\n', 'database: x\n\n'],
  );
  assert.equal(withData, [false, false, false, true, true, false]);
});

const mark = '\xef\xbb\xbf';

test('a byte order mark is no part of the first line, and is left out where a stream goes on', () => {
  for (const cut of [0, 1, 2, 3, 4, 6]) {
    const text = `${mark}id: 1\ndata: a\n\nid: 2\n\n`;
    const chunks = [text.slice(0, cut), text.slice(cut)];
    assert.equal(split(chunks).told, [
      [`${mark}id: 1\ndata: a\n\n`, '1'],
      ['id: 2\n\n', '2'],
    ]);
    assert.equal(split(chunks, true).told, [
      ['id: 1\ndata: a\n\n', '1'],
      ['id: 2\n\n', '2'],
    ]);
  }
  assert.equal(split(['\xef\xbb', 'id: 1\n\n']).told, [['\xef\xbbid: 1\n\n', undefined]]);
});

test('an id that no header can carry is cut off', () => {
  const [[, id] = ['', '']] = split([`id: ${'7'.repeat(100_000)}\n\n`]).told;
  assert.is(id?.length, maxIdBytes + 1);
});

test('bytes after the last whole event are a rest', () => {
  const { told, hasRest } = split(['id: 1\n\nid: 2\n']);
  assert.equal([told, hasRest], [[['id: 1\n\n', '1']], true]);
  assert.equal(split([]).hasRest, false);
});

/** The blocks of a stream, by the published format, read from the whole text at once. */
const blocksOf = (text: string): readonly { readonly id: string | undefined; readonly hasData: boolean }[] => {
  const lines = (text.startsWith(mark) ? text.slice(mark.length) : text).split(/\r\n|\r|\n/);
  const blocks: { readonly id: string | undefined; readonly hasData: boolean }[] = [];
  let id: string | undefined;
  let hasData = false;
  for (const line of lines.slice(0, -1)) {
    const [, name = '', value = ''] = /^([^:]*)(?:: ?([^]*))?$/.exec(line) ?? [];
    if (line === '') {
      blocks.push({ id, hasData });
      id = undefined;
      hasData = false;
    } else if (name === 'data') hasData = true;
    else if (name === 'id' && !value.includes('\0')) id = value;
  }
  return blocks;
};

const streamText = fc
  .array(
    fc.constantFrom(
      '\n',
      '\r',
      '\r\n',
      'id',
      'id:',
      'id: 7',
      'data',
      'data: x',
      ':',
      ' ',
      'i',
      'd',
      '\0',
      mark,
      'é',
      'event: y',
      '12',
    ),
    { maxLength: 40 },
  )
  .map((parts) => parts.join(''));

test('any bytes in any cuts give the blocks of the published format, and lose no byte', () => {
  fc.assert(
    fc.property(streamText, fc.array(fc.nat(80), { maxLength: 12 }), (text, cuts) => {
      const places = [0, ...cuts.map((cut) => Math.min(cut, text.length)).sort((a, b) => a - b), text.length];
      const told: { readonly id: string | undefined; readonly hasData: boolean }[] = [];
      let passed = '';
      let endsInReturn = false;
      const splitter = openEventSplitter(false, ({ chunks, id, hasData }) => {
        const bytes = textOf(chunks);
        if (!(bytes === '\n' && endsInReturn)) told.push({ id, hasData });
        endsInReturn = bytes.endsWith('\r');
        passed += bytes;
      });
      places.slice(1).forEach((to, place) => splitter.put(Buffer.from(text.slice(places[place], to), 'latin1')));
      assert.ok(text.startsWith(passed));
      assert.is(passed.length + splitter.heldBytes(), text.length);
      assert.equal(told, blocksOf(text));
    }),
    { numRuns: 3_000 },
  );
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
