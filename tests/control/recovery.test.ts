import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { snapshotRecordsOf, recoverReplica } from '../../src/control/persistence/recovery.js';
import type { Command } from '../../src/control/log/command.js';
import { checkLogShape } from '../../src/control/machine/invariants.js';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import { decodeDurableRecords, encodeDurableRecords } from '../../src/control/wire/durable-record-codec.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const largeSetup = (name: string) => {
  const setup = sampleSetup(name);
  const copies = setup.rules.flatMap((rule) =>
    Array.from({ length: 200 }, (_, index) => ({ ...rule, kind: `${rule.kind}-${index}` })),
  );
  return { ...setup, rules: [...setup.rules, ...copies] };
};

/** The leader of a core of one node after some commands, with the records that it has persisted. */
const leaderAfter = (
  commands: readonly Command[],
): { readonly replica: Replica; readonly persisted: readonly DurableRecord[] } => {
  const persisted: DurableRecord[] = [];
  let replica = createReplica('c1-x', 'a:1', ['a:1']);
  const apply = (event: Parameters<typeof stepControl>[1]): void => {
    const step = stepControl(replica, event);
    replica = step.replica;
    for (const effect of step.effects) if (effect.type === 'persist') persisted.push(effect.record);
  };
  apply({
    type: 'message',
    at: 1,
    chance: 0,
    from: 'c1-x',
    message: { type: 'probe', identity: 'c1-x', address: 'a:1', founded: false, founds: true, nonce: 'n' },
  });
  apply({
    type: 'message',
    at: 2,
    chance: 0,
    from: 'c1-x',
    message: { type: 'probe', identity: 'c1-x', address: 'a:1', founded: false, founds: true, nonce: 'n' },
  });
  apply({ type: 'tick', at: 2_000_000, chance: 0 });
  commands.forEach((command, index) =>
    apply({ type: 'propose', at: 2_000_001 + index, requestId: `a${index}`, command }),
  );
  return { replica, persisted };
};

test('term, vote, log and state are recovered from records and from a snapshot', () => {
  const commands: readonly Command[] = [
    { type: 'setup', proposal: 'p1', expected: 0, setup: sampleSetup('one'), atUs: 10 },
    { type: 'claim', key: 'record/k1', exchange: 'e1', atUs: 20 },
    { type: 'setup', proposal: 'p2', expected: 0, setup: sampleSetup('two'), atUs: 30 },
  ];
  const { replica, persisted } = leaderAfter(commands);
  assert.is(replica.role, 'leader');
  assert.is(replica.state.record?.setup.name, 'one');
  const start = createReplica('none', 'a:1', ['a:1']);
  const recovered = (records: readonly DurableRecord[]): Replica =>
    recoverReplica(start, decodeDurableRecords(encodeDurableRecords(records)).unsafeCoerce());
  const fromRecords = recovered(persisted);
  assert.equal(
    [fromRecords.term, fromRecords.votedFor, fromRecords.entries],
    [replica.term, replica.votedFor, replica.entries],
  );
  const fromSnapshot = recovered(snapshotRecordsOf(replica));
  assert.equal(
    [fromSnapshot.identity, fromSnapshot.term, fromSnapshot.votedFor, fromSnapshot.commit],
    ['c1-x', replica.term, replica.votedFor, replica.commit],
  );
  assert.equal(fromSnapshot.state, replica.state);
});

test('a snapshot holds the current setup only, even after many large ones', () => {
  const commands = Array.from({ length: 30 }, (_, index): Command => ({
    type: 'setup',
    proposal: `p${index}`,
    expected: index,
    setup: largeSetup(`large-${index}`),
    atUs: index,
  }));
  const { replica } = leaderAfter(commands);
  assert.is(replica.state.record?.revision, 30);
  const setupBytes = encodeDurableRecords([{ type: 'entries', entries: replica.entries.slice(-1) }]).length;
  const snapshotBytes = encodeDurableRecords(snapshotRecordsOf(replica)).length;
  assert.ok(snapshotBytes < 2 * setupBytes, `${snapshotBytes} bytes for a snapshot, ${setupBytes} for one setup`);
});

test('a snapshot with 60,000 claims is smaller than 12 MB and can be recovered', () => {
  const claims = Array.from(
    { length: 60_000 },
    (_, index) =>
      [
        `label-copy-rewrite/00000000-0000-4000-8000-${String(index).padStart(12, '0')}`,
        { exchange: `router-9.0123abcd.c${index}`, atUs: 1_700_000_000_000_000 },
      ] as const,
  );
  const { replica } = leaderAfter([]);
  const full: Replica = {
    ...replica,
    state: { ...replica.state, buckets: new Map([[1, new Map(claims)]]), claimCount: claims.length },
  };
  const snapshot: Replica = { ...full, snapshot: { ...full.snapshot, state: full.state } };
  const bytes = encodeDurableRecords(snapshotRecordsOf(snapshot));
  assert.ok(bytes.length < 12 << 20, `${bytes.length} bytes`);
  const recovered = recoverReplica(createReplica('none', 'a:1', ['a:1']), decodeDurableRecords(bytes).unsafeCoerce());
  assert.equal(recovered.state.buckets, full.state.buckets);
});

test('records that an earlier snapshot contains change nothing, later ones are added', () => {
  const { replica, persisted } = leaderAfter([
    { type: 'claim', key: 'record/k1', exchange: 'e1', atUs: 20 },
    { type: 'claim', key: 'record/k2', exchange: 'e2', atUs: 30 },
  ]);
  const entryRecords = persisted.filter((record) => record.type === 'entries');
  const lastIndex = replica.commit;
  assert.ok(lastIndex >= 4 && entryRecords.length >= 4);
  const start = createReplica('none', 'a:1', ['a:1']);
  const recovered = recoverReplica(start, [...snapshotRecordsOf(replica), ...entryRecords]);
  checkLogShape(recovered);
  assert.equal([recovered.commit, recovered.entries], [lastIndex, []]);
  const next = { index: lastIndex + 1, term: replica.term, command: { type: 'start-term' as const } };
  const overlapping = [...replica.entries.slice(-1), next];
  const longer = recoverReplica(start, [...snapshotRecordsOf(replica), { type: 'entries', entries: overlapping }]);
  checkLogShape(longer);
  assert.equal(longer.entries, [next]);
});

test.run();
