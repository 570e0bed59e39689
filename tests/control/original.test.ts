import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { emptyReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';
import { isCommand } from '../../src/control/wire/command-guard.js';
import { decodeDurableRecords, encodeDurableRecords } from '../../src/control/wire/durable-record-codec.js';
import { isSetupRecord } from '../../src/setup/check/setup-guard.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

type Put = { readonly version: number; readonly expected: number; readonly text?: string };

const commandOf = ({ version, expected, text = `document ${version}` }: Put): Command => ({
  type: 'setup',
  proposal: `original-${text}`,
  expected,
  setup: sampleSetup('first'),
  original: { version, text },
  atUs: 1,
});

const applyPuts = (puts: readonly Put[]): { readonly state: ReplicatedState; readonly outcomes: readonly string[] } =>
  puts.reduce<{ readonly state: ReplicatedState; readonly outcomes: readonly string[] }>(
    ({ state, outcomes }, put) => {
      const applied = applyCommand(state, commandOf(put));
      return {
        state: applied.state,
        outcomes: [
          ...outcomes,
          applied.outcome.type === 'proposal' ? applied.outcome.outcome.type : applied.outcome.type,
        ],
      };
    },
    { state: emptyReplicatedState, outcomes: [] },
  );

test('a document is committed if its expected version is the current one and its own version is higher', () => {
  assert.equal(
    applyPuts([
      { version: 3, expected: 0 },
      { version: 7, expected: 3 },
      { version: 9, expected: 3 },
    ]).outcomes,
    ['committed', 'committed', 'conflict'],
  );
  assert.equal(
    applyPuts([
      { version: 3, expected: 1 },
      { version: 3, expected: 0 },
    ]).outcomes,
    ['conflict', 'committed'],
  );
  assert.equal(
    applyPuts([
      { version: 3, expected: 0 },
      { version: 3, expected: 3, text: 'other' },
    ]).outcomes,
    ['committed', 'conflict'],
  );
  assert.equal(
    applyPuts([
      { version: 3, expected: 0 },
      { version: 2, expected: 3 },
    ]).outcomes,
    ['committed', 'conflict'],
  );
});

test('a repeated document is acknowledged, current or not, without a new revision', () => {
  const { state, outcomes } = applyPuts([
    { version: 3, expected: 0 },
    { version: 3, expected: 99 },
    { version: 7, expected: 3 },
    { version: 3, expected: 0 },
  ]);
  assert.equal(outcomes, ['committed', 'committed', 'committed', 'committed']);
  assert.is(state.record?.revision, 2);
  assert.is(state.record?.original?.version, 7);
});

test('a document that was a conflict can be committed later', () => {
  const { state, outcomes } = applyPuts([
    { version: 3, expected: 0 },
    { version: 9, expected: 0 },
    { version: 7, expected: 3 },
    { version: 9, expected: 7 },
  ]);
  assert.equal(outcomes, ['committed', 'conflict', 'committed', 'committed']);
  assert.is(state.record?.original?.text, 'document 9');
});

test('a large document passes guards, disk and snapshot unchanged', () => {
  const text = `{"ver":3,"more":"${'é'.repeat(2 << 20)}"}`;
  const command = commandOf({ version: 3, expected: 0, text });
  assert.ok(isCommand(command));
  const { state } = applyPuts([{ version: 3, expected: 0, text }]);
  assert.ok(isSetupRecord(state.record));
  const snapshot = { index: 1, term: 1, members: [], state };
  const [record, entries] = decodeDurableRecords(
    encodeDurableRecords([
      { type: 'snapshot', snapshot },
      { type: 'entries', entries: [{ index: 2, term: 1, command }] },
    ]),
  ).unsafeCoerce();
  assert.is(record?.type === 'snapshot' ? record.snapshot.state.record?.original?.text : undefined, text);
  const persisted = entries?.type === 'entries' ? entries.entries[0]?.command : undefined;
  assert.is(persisted?.type === 'setup' ? persisted.original?.text : undefined, text);
  assert.not.ok(isCommand({ ...command, original: { version: 3 } }));
});

test.run();
