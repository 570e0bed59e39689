import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import type { ControlStep } from '../../src/control/machine/control-step.js';
import { startReplica, type Replica } from '../../src/control/machine/replica.js';
import { stateBytesOf, stateLimitOf } from '../../src/control/machine/state-limit.js';
import { stepControl } from '../../src/control/machine/step.js';
import { snapshotRecordsOf } from '../../src/control/persistence/recovery.js';
import { claimKeepUs, mostClaims } from '../../src/control/state/claims.js';
import { maxRememberedDocuments } from '../../src/control/state/document-history.js';
import { maxRememberedProposals } from '../../src/control/state/proposal-history.js';
import { maxRefusedOrders } from '../../src/control/state/refused-orders.js';
import { decodeDurableRecords, encodeDurableRecords } from '../../src/control/wire/durable-record-codec.js';
import { isPlainMessage } from '../../src/control/wire/message-codec.js';
import { boundedMapOf } from '../../src/common/bounded-map.js';
import { openDiskRing } from '../../src/disk/disk-ring.js';
import { firstRecordOffset, paddedLength } from '../../src/disk/record-format.js';
import { openMemoryFiles } from '../../src/sim/disk/memory-files.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const ringFileBytes = 1 << 20;

/** A leader of one voter, so that all it takes is committed at once. */
const soleLeader = (fileBytes: number): Replica => {
  const members = [{ identity: 'a', address: 'a:1', voter: true }];
  const start = startReplica('a', 'a:1', ['a:1'], true, 1, stateLimitOf(fileBytes));
  return { ...start, snapshot: { ...start.snapshot, members }, role: 'leader', leader: 'a', term: 1 };
};

const propose = (replica: Replica, command: Command, at = 1): ControlStep =>
  stepControl(replica, { type: 'propose', at, requestId: 'r', command });

const replyOf = ({ effects }: ControlStep): string | undefined => {
  const reply = effects.flatMap((effect) => (effect.type === 'reply' ? [effect.reply] : []))[0];
  return reply?.type === 'applied' ? reply.outcome.type : reply?.type;
};

const longClaim = (place: number, atUs = 1): Command => ({
  type: 'claim',
  key: `kind/${String(place).padStart(200, 'k')}`,
  exchange: `router-9.0123abcd.c${place}`,
  atUs,
});

const change = (version: number, chars: number): Command => ({
  type: 'setup',
  proposal: `p${version}`,
  expected: version - 1,
  setup: sampleSetup(`s${version}`),
  original: { version, text: '"'.repeat(chars) },
  atUs: 1,
});

const snapshotBytes = (replica: Replica): number => encodeDurableRecords(snapshotRecordsOf(replica)).length;

const claimedUntilFull = (): { readonly replica: Replica; readonly taken: number } => {
  let replica = soleLeader(ringFileBytes);
  for (let taken = 0; taken < 10_000; taken += 1) {
    const step = propose(replica, longClaim(taken));
    replica = step.replica;
    if (replyOf(step) === 'claims-full') return { replica, taken };
  }
  throw new Error('10,000 long claims fit a file of 1 MB');
};

test('a state that is filled up to its bound refuses more, and its snapshot is kept by a ring', async () => {
  const { replica, taken } = claimedUntilFull();
  assert.ok(taken > 1_000 && taken < mostClaims, `${taken} claims`);
  assert.ok(
    firstRecordOffset + paddedLength(snapshotBytes(replica)) < ringFileBytes,
    `${snapshotBytes(replica)} bytes`,
  );
  assert.ok(snapshotBytes(replica) <= stateBytesOf(replica.state), 'the measure is an upper bound');
  const refused = propose(replica, change(1, 100_000));
  assert.is(replyOf(refused), 'state-full');
  assert.is(refused.replica.entries.length, replica.entries.length, 'nothing entered the log');
  const memory = openMemoryFiles(2, ringFileBytes);
  const ring = (await openDiskRing(memory.files)).unsafeCoerce();
  for (let turn = 0; turn < 4; turn += 1)
    assert.ok(
      (
        await ring.append(Buffer.alloc(ringFileBytes / 2), () => encodeDurableRecords(snapshotRecordsOf(replica)))
      ).isRight(),
    );
});

// Guards against: no core machine starts again, and no follower takes the log further, once a claim was refused as full.
test('what a refused claim puts into the log is read back from the disk and by other machines', () => {
  const { effects } = propose(claimedUntilFull().replica, longClaim(20_000));
  const records = effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
  const entries = records.flatMap((record) => (record.type === 'entries' ? record.entries : []));
  assert.equal(
    entries.map(({ command }) => command.type),
    ['release'],
  );
  assert.equal(decodeDurableRecords(encodeDurableRecords(records)).unsafeCoerce(), records);
  const append = { type: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries, commit: 0, round: 0 };
  assert.ok(isPlainMessage(append));
});

test('claims that expire make room again, and a known key is answered however full the state is', () => {
  const { replica } = claimedUntilFull();
  assert.is(replyOf(propose(replica, longClaim(0))), 'claimed');
  let later = replica;
  const laterUs = claimKeepUs + 10;
  const isTaken = Array.from({ length: 2_000 }, (_, place) => {
    const step = propose(later, longClaim(1_000_000 + place, laterUs), laterUs);
    later = step.replica;
    return replyOf(step) === 'claimed';
  });
  assert.ok(isTaken.filter(Boolean).length > 1_000, `${isTaken.filter(Boolean).length} taken`);
  assert.ok(snapshotBytes(later) < ringFileBytes);
});

test('a change that alone is larger than the bound never enters the log', () => {
  const replica = soleLeader(ringFileBytes);
  const step = propose(replica, change(1, ringFileBytes));
  assert.is(replyOf(step), 'state-full');
  assert.equal(
    step.effects.filter((effect) => effect.type === 'persist'),
    [],
  );
});

test('uncommitted changes count: eight at once never make an append or a snapshot larger than a file', () => {
  const members = ['a', 'b', 'c'].map((identity) => ({ identity, address: `${identity}:1`, voter: true }));
  const start = soleLeader(ringFileBytes);
  let replica: Replica = { ...start, snapshot: { ...start.snapshot, members } };
  const replies = Array.from({ length: 8 }, (_, place) => {
    const step = propose(replica, change(place + 1, 150_000));
    replica = step.replica;
    return replyOf(step);
  });
  assert.ok(replies.includes('state-full') && replies.includes(undefined));
  assert.ok(snapshotBytes(replica) < ringFileBytes, `${snapshotBytes(replica)} bytes`);
});

test('100,000 claims of a usual size, a full history of orders and a change of 1 MB fit a file of 32 MB', () => {
  const replica = soleLeader(32 << 20);
  const claims = Array.from(
    { length: mostClaims },
    (_, place): readonly [string, { exchange: string; atUs: number }] => [
      `label-copy-rewrite/00000000-0000-4000-8000-${String(place).padStart(12, '0')}`,
      { exchange: `router-9.0123abcd.c${place}`, atUs: 1_700_000_000_000_000 },
    ],
  );
  const digest = '0123456789abcdef0123456789abcdef';
  const documents = Array.from(
    { length: maxRememberedDocuments },
    (_, place) => [place + 1, { digest, revision: place + 1 }] as const,
  );
  const proposals = Array.from(
    { length: maxRememberedProposals },
    (_, place) => [String(place).padStart(128, 'p'), { type: 'committed' as const, revision: place }] as const,
  );
  const refusals = Array.from(
    { length: maxRefusedOrders },
    (_, place) => [`${place}:${Number.MAX_SAFE_INTEGER}:${digest}`, 1_700_000_000_000_000] as const,
  );
  const state = {
    ...replica.state,
    record: {
      revision: maxRememberedDocuments,
      takenAtUs: 1,
      setup: sampleSetup('newest'),
      original: { version: maxRememberedDocuments, text: 'newest' },
      epochs: [],
    },
    documents: { committed: boundedMapOf(documents), forgottenVersion: 0 },
    proposals: { outcomes: boundedMapOf(proposals), forgottenRevision: 0 },
    refusedOrders: boundedMapOf(refusals),
    buckets: new Map([[1, new Map(claims)]]),
    claimCount: mostClaims,
  };
  const full: Replica = { ...replica, state, snapshot: { ...replica.snapshot, state } };
  const step = propose(full, change(maxRememberedDocuments + 1, 1 << 20));
  assert.is(replyOf(step), 'proposal');
  assert.is(step.replica.state.record?.revision, maxRememberedDocuments + 1, 'it was committed');
  const bytes = snapshotBytes(step.replica);
  assert.ok(bytes <= stateBytesOf(step.replica.state) && bytes < 32 << 20, `${bytes} bytes`);
});

test.run();
