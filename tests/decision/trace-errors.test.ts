import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openTraceReader } from '../../src/decision/trace/trace-reader.js';
import { initialServersAt, listOf, recordOf } from './fixtures.js';

const errorAfter = (
  ...lines: readonly string[]
): { readonly type: string; readonly message: string; readonly path: string | undefined } | undefined => {
  const reader = openTraceReader();
  for (const line of lines) {
    const read = reader.read(line);
    const error = read.swap().toMaybe().extractNullable();
    if (error !== null) return { type: error.type, message: error.message, path: error.faults?.[0]?.path };
  }
  return undefined;
};

const tick = (at: number): string => JSON.stringify({ type: 'tick', at });
const setupLine = JSON.stringify({ type: 'setup', at: 1, record: recordOf() });
const listLine = (version: number): string =>
  JSON.stringify({ type: 'list', at: 1, list: listOf(version, 1, initialServersAt(2, 0)) });
const exchangeLine = JSON.stringify({ type: 'exchange', at: 1, exchange: 'e', kind: 'ask', prefix: 'p' });

test('every malformed or misplaced line is an error that names the line and the field', () => {
  const cases: readonly (readonly [readonly string[], string, string, number])[] = [
    [['{'], 'bad-event', '', 1],
    [['[]'], 'bad-event', '', 1],
    [['{"type":"tock","at":1}'], 'bad-event', 'type', 1],
    [[tick(1), '{"type":"tick"}'], 'bad-event', 'at', 2],
    [[tick(1), '{"type":"tick","at":1.5}'], 'bad-event', 'at', 2],
    [['{"type":"tick","at":"1"}'], 'bad-event', 'at', 1],
    [[tick(5), tick(4)], 'out-of-order', 'at', 2],
    [[setupLine, setupLine], 'out-of-order', 'record.revision', 2],
    [[listLine(3), listLine(2)], 'out-of-order', 'list.version', 2],
    [['{"type":"sent","at":1,"exchange":"e","attempt":1}'], 'out-of-order', 'exchange', 1],
    [
      [setupLine, listLine(1), exchangeLine, '{"type":"sent","at":1,"exchange":"e","attempt":2}'],
      'out-of-order',
      'attempt',
      4,
    ],
    [[setupLine, listLine(1), exchangeLine, exchangeLine], 'out-of-order', 'exchange', 4],
    [['{"type":"dark","at":1,"server":"s","more":1}'], 'bad-event', '', 1],
  ];
  for (const [lines, type, path, line] of cases) {
    const error = errorAfter(...lines);
    assert.is(error?.type, type, lines.join(' / '));
    assert.is(error?.path, path, `${lines.join(' / ')}: ${error?.message}`);
    assert.ok(error?.message.startsWith(`line ${line}:`), error?.message);
  }
});

test('a valid trace gives no error, and empty lines are skipped', () => {
  assert.is(errorAfter(setupLine, '', listLine(1), exchangeLine, tick(9)), undefined);
});

test.run();
