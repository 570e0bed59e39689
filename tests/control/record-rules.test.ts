import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import { startSnapshot } from '../../src/control/machine/replica.js';
import { checkDurableRecords } from '../../src/control/persistence/record-rules.js';

const entry = (index: number, term: number): LogEntry => ({ index, term, command: { type: 'start-term' } });
const entries = (...list: readonly LogEntry[]): DurableRecord => ({ type: 'entries', entries: list });
const vote = (term: number, votedFor?: string): DurableRecord => ({ type: 'vote', term, votedFor });
const snapshot = (index: number, term: number): DurableRecord => ({
  type: 'snapshot',
  snapshot: { ...startSnapshot, index, term },
});

const faultOf = (records: readonly DurableRecord[]): string | undefined =>
  checkDurableRecords('/data', records).swap().toMaybe().extractNullable()?.message;

const whole: readonly DurableRecord[] = [
  vote(1, 'a'),
  entries(entry(1, 1), entry(2, 1)),
  vote(2, 'b'),
  entries(entry(2, 2), entry(3, 2)),
  snapshot(3, 2),
  entries(entry(4, 2)),
];

test('records that keep the rules pass, also where a later entry replaces an uncommitted one', () => {
  assert.is(faultOf(whole), undefined);
});

const broken: readonly (readonly [string, readonly DurableRecord[]])[] = [
  ['the term falls', [...whole, vote(1, 'a')]],
  ['two votes', [...whole, vote(2, 'c')]],
  ['follows entry 4', [...whole, entries(entry(6, 2))]],
  ['stands where 6', [...whole, entries(entry(5, 2), entry(7, 2))]],
  ['after term 2', [...whole, entries(entry(5, 1))]],
  ['of term 3, the vote of 2', [...whole, entries(entry(5, 3))]],
  ['lies below the snapshot', [...whole, entries(entry(3, 2))]],
  ['the snapshot falls', [...whole, snapshot(2, 2)]],
  ["the snapshot's term falls", [...whole, snapshot(5, 1)]],
  ['the snapshot is of term 3', [...whole, snapshot(5, 3)]],
];

for (const [fault, records] of broken)
  test(`records are damage where ${fault}`, () => {
    const message = faultOf(records);
    assert.ok(message?.includes(fault) === true && message.startsWith('/data:'), message);
  });

test.run();
