import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import { emptySnapshot } from '../../src/control/machine/replica.js';
import { checkDurableRecords } from '../../src/control/persistence/record-rules.js';

const entry = (index: number, term: number): LogEntry => ({ index, term, command: { type: 'start-term' } });
const entries = (...items: readonly LogEntry[]): DurableRecord => ({ type: 'entries', entries: items });
const vote = (term: number, votedFor?: string): DurableRecord => ({ type: 'vote', term, votedFor });
const snapshot = (index: number, term: number): DurableRecord => ({
  type: 'snapshot',
  snapshot: { ...emptySnapshot, index, term },
});

const faultOf = (records: readonly DurableRecord[]): string | undefined =>
  checkDurableRecords('/data', records).swap().toMaybe().extractNullable()?.message;

const valid: readonly DurableRecord[] = [
  vote(1, 'a'),
  entries(entry(1, 1), entry(2, 1)),
  vote(2, 'b'),
  entries(entry(2, 2), entry(3, 2)),
  snapshot(3, 2),
  entries(entry(4, 2)),
];

test('valid records pass, also if a later entry replaces an uncommitted one', () => {
  assert.is(faultOf(valid), undefined);
});

const invalid: readonly (readonly [string, readonly DurableRecord[]])[] = [
  ['the term decreases', [...valid, vote(1, 'a')]],
  ['two votes', [...valid, vote(2, 'c')]],
  ['leaves a gap after entry 4', [...valid, entries(entry(6, 2))]],
  ['found where entry 6', [...valid, entries(entry(5, 2), entry(7, 2))]],
  ['below the previous term 2', [...valid, entries(entry(5, 1))]],
  ['entry 5 has term 3, above the persisted term 2', [...valid, entries(entry(5, 3))]],
  ['is not after the snapshot', [...valid, entries(entry(3, 2))]],
  ['the snapshot index decreases', [...valid, snapshot(2, 2)]],
  ['the snapshot term decreases', [...valid, snapshot(5, 1)]],
  ['the snapshot has term 3', [...valid, snapshot(5, 3)]],
];

for (const [fault, records] of invalid)
  test(`records are refused as damaged: ${fault}`, () => {
    const message = faultOf(records);
    assert.ok(message?.includes(fault) === true && message.startsWith('/data:'), message);
  });

test.run();
