import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import type { ControlStep } from '../../src/control/machine/control-step.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stateBytesOf, stateLimitBytesOf } from '../../src/control/machine/state-limit.js';
import { stepControl } from '../../src/control/machine/step.js';
import { snapshotRecordsOf } from '../../src/control/persistence/recovery.js';
import { claimRetentionUs, maxClaims } from '../../src/control/state/claims.js';
import { maxRememberedDocuments } from '../../src/control/state/document-history.js';
import { maxRememberedProposals } from '../../src/control/state/proposal-history.js';
import { maxRefusedProposals } from '../../src/control/state/refused-proposals.js';
import { decodeDurableRecords, encodeDurableRecords } from '../../src/control/wire/durable-record-codec.js';
import { isPlainMessage } from '../../src/control/wire/message-codec.js';
import { boundedMapOf } from '../../src/common/bounded-map.js';
import { openDiskRing } from '../../src/disk/disk-ring.js';
import { firstRecordOffset, paddedLength } from '../../src/disk/record-format.js';
import { openMemoryFiles } from '../../src/sim/disk/memory-files.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const ringFileBytes = 1 << 20;

/** The leader of a core with one voter, so that its commands are committed at once. */
const soleLeader = (fileBytes: number): Replica => {
  const members = [{ identity: 'a', address: 'a:1', voter: true }];
  const start = createReplica('a', 'a:1', ['a:1'], true, 1, stateLimitBytesOf(fileBytes));
  return { ...start, snapshot: { ...start.snapshot, members }, role: 'leader', leader: 'a', term: 1 };
};

const propose = (replica: Replica, command: Command, at = 1): ControlStep =>
  stepControl(replica, { type: 'propose', at, requestId: 'r', command });

const replyOf = ({ effects }: ControlStep): string | undefined => {
  const reply = effects.flatMap((effect) => (effect.type === 'reply' ? [effect.reply] : []))[0];
  return reply?.type === 'applied' ? reply.outcome.type : reply?.type;
};

const longClaim = (index: number, atUs = 1): Command => ({
  type: 'claim',
  key: `kind/${String(index).padStart(200, 'k')}`,
  exchange: `router-9.0123abcd.c${index}`,
  atUs,
});

const setupOf = (version: number, chars: number): Command => ({
  type: 'setup',
  proposal: `p${version}`,
  expected: version - 1,
  setup: sampleSetup(`s${version}`),
  original: { version, text: '"'.repeat(chars) },
  atUs: 1,
});

const snapshotBytes = (replica: Replica): number => encodeDurableRecords(snapshotRecordsOf(replica)).length;

const fillWithClaims = (): { readonly replica: Replica; readonly taken: number } => {
  let replica = soleLeader(ringFileBytes);
  for (let taken = 0; taken < 10_000; taken += 1) {
    const step = propose(replica, longClaim(taken));
    replica = step.replica;
    if (replyOf(step) === 'claims-full') return { replica, taken };
  }
  throw new Error('10,000 long claims fit into a ring file of 1 MB');
};

test('a state at its size limit refuses commands, and its snapshot fits into a ring file', async () => {
  const { replica, taken } = fillWithClaims();
  assert.ok(taken > 1_000 && taken < maxClaims, `${taken} claims`);
  assert.ok(
    firstRecordOffset + paddedLength(snapshotBytes(replica)) < ringFileBytes,
    `${snapshotBytes(replica)} bytes`,
  );
  assert.ok(snapshotBytes(replica) <= stateBytesOf(replica.state), 'the computed size is an upper bound');
  const refused = propose(replica, setupOf(1, 100_000));
  assert.is(replyOf(refused), 'state-full');
  assert.is(refused.replica.entries.length, replica.entries.length, 'nothing was appended to the log');
  const memory = openMemoryFiles(2, ringFileBytes);
  const ring = (await openDiskRing(memory.files)).unsafeCoerce();
  for (let file = 0; file < 4; file += 1)
    assert.ok(
      (
        await ring.append(Buffer.alloc(ringFileBytes / 2), () => encodeDurableRecords(snapshotRecordsOf(replica)))
      ).isRight(),
    );
});

// A refused claim appends a release without an exchange; if the guards rejected it, no node could restart and no follower
// could append to its log any more.
test('the release that a refused claim appends can be decoded from disk and by other nodes', () => {
  const { effects } = propose(fillWithClaims().replica, longClaim(20_000));
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

test('expired claims make room for new ones, and a claimed key is answered even at the size limit', () => {
  const { replica } = fillWithClaims();
  assert.is(replyOf(propose(replica, longClaim(0))), 'claimed');
  let later = replica;
  const laterUs = claimRetentionUs + 10;
  const isAccepted = Array.from({ length: 2_000 }, (_, index) => {
    const step = propose(later, longClaim(1_000_000 + index, laterUs), laterUs);
    later = step.replica;
    return replyOf(step) === 'claimed';
  });
  assert.ok(isAccepted.filter(Boolean).length > 1_000, `${isAccepted.filter(Boolean).length} accepted`);
  assert.ok(snapshotBytes(later) < ringFileBytes);
});

test('a setup that exceeds the size limit on its own is never appended to the log', () => {
  const replica = soleLeader(ringFileBytes);
  const step = propose(replica, setupOf(1, ringFileBytes));
  assert.is(replyOf(step), 'state-full');
  assert.equal(
    step.effects.filter((effect) => effect.type === 'persist'),
    [],
  );
});

test('uncommitted setups count: eight at once never make an append or a snapshot larger than a ring file', () => {
  const members = ['a', 'b', 'c'].map((identity) => ({ identity, address: `${identity}:1`, voter: true }));
  const start = soleLeader(ringFileBytes);
  let replica: Replica = { ...start, snapshot: { ...start.snapshot, members } };
  const replies = Array.from({ length: 8 }, (_, index) => {
    const step = propose(replica, setupOf(index + 1, 150_000));
    replica = step.replica;
    return replyOf(step);
  });
  assert.ok(replies.includes('state-full') && replies.includes(undefined));
  assert.ok(snapshotBytes(replica) < ringFileBytes, `${snapshotBytes(replica)} bytes`);
});

test('100,000 claims of typical size, a full outcome history and a setup of 1 MB fit into a ring file of 32 MB', () => {
  const replica = soleLeader(32 << 20);
  const claims = Array.from(
    { length: maxClaims },
    (_, index): readonly [string, { exchange: string; atUs: number }] => [
      `label-copy-rewrite/00000000-0000-4000-8000-${String(index).padStart(12, '0')}`,
      { exchange: `router-9.0123abcd.c${index}`, atUs: 1_700_000_000_000_000 },
    ],
  );
  const digest = '0123456789abcdef0123456789abcdef';
  const documents = Array.from(
    { length: maxRememberedDocuments },
    (_, index) => [index + 1, { digest, revision: index + 1 }] as const,
  );
  const proposals = Array.from(
    { length: maxRememberedProposals },
    (_, index) => [String(index).padStart(128, 'p'), { type: 'committed' as const, revision: index }] as const,
  );
  const refusals = Array.from(
    { length: maxRefusedProposals },
    (_, index) => [`${index}:${Number.MAX_SAFE_INTEGER}:${digest}`, 1_700_000_000_000_000] as const,
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
    claimCount: maxClaims,
  };
  const full: Replica = { ...replica, state, snapshot: { ...replica.snapshot, state } };
  const step = propose(full, setupOf(maxRememberedDocuments + 1, 1 << 20));
  assert.is(replyOf(step), 'proposal');
  assert.is(step.replica.state.record?.revision, maxRememberedDocuments + 1, 'it was committed');
  const bytes = snapshotBytes(step.replica);
  assert.ok(bytes <= stateBytesOf(step.replica.state) && bytes < 32 << 20, `${bytes} bytes`);
});

test.run();
