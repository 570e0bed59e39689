import { EitherAsync, Left, Right } from 'purify-ts';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { typedError } from '../../src/common/typed-error.js';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import { checkDurableRecords } from '../../src/control/persistence/record-rules.js';
import { recoverReplica, snapshotRecordsOf } from '../../src/control/persistence/recovery.js';
import { decodeDurableBatches, encodeDurableRecords } from '../../src/control/wire/durable-record-codec.js';
import { openDiskRing } from '../../src/disk/disk-ring.js';
import { openDurableWriter } from '../../src/process/control/durable-writer.js';
import { openReplica } from '../../src/process/control/open-replica.js';
import { openWithRetry, reopenDelayUs } from '../../src/process/control/open-ring.js';
import { openCounters } from '../../src/process/counters.js';
import { openMemoryFiles } from '../../src/sim/disk/memory-files.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import { openWorld } from '../../src/sim/world/world.js';

const fileBytes = 2 << 20;
const textChars = 600_000;

const soleLeader = (): Replica => {
  const members = [{ identity: 'a', address: 'a:1', voter: true }];
  const start = createReplica('a', 'a:1', ['a:1'], true, 1);
  return { ...start, snapshot: { ...start.snapshot, members }, role: 'leader', leader: 'a', term: 1 };
};

test('a ring file that is started between two large batches holds every record once, and recovers without a gap', async () => {
  let replica = soleLeader();
  const records: DurableRecord[] = [];
  for (const version of [1, 2]) {
    const step = stepControl(replica, {
      type: 'propose',
      at: version,
      requestId: `r${version}`,
      command: {
        type: 'setup',
        proposal: `p${version}`,
        expected: version - 1,
        setup: sampleSetup('s'),
        original: { version, text: 'x'.repeat(textChars) },
        atUs: 1,
      },
    });
    replica = step.replica;
    for (const effect of step.effects) if (effect.type === 'persist') records.push(effect.record);
  }
  const memory = openMemoryFiles(2, fileBytes);
  const ring = (await openDiskRing(memory.files)).unsafeCoerce();
  (await ring.append(Buffer.alloc(0), () => Buffer.alloc(fileBytes - 4_096))).unsafeCoerce();
  const writer = openDurableWriter({
    ring,
    snapshotRecords: () => snapshotRecordsOf(replica),
    clock: openSimNode(openWorld(1)).begin().clock,
    log: { change: () => undefined },
    counters: openCounters(),
    fail: (error) => assert.unreachable(error.message),
  });
  assert.ok(await writer.persist(records));
  const { recovered } = (await openDiskRing(memory.files)).unsafeCoerce();
  const batches = [...(recovered.snapshot === undefined ? [] : [recovered.snapshot]), ...recovered.records];
  const checked = decodeDurableBatches(batches).chain((decoded) => checkDurableRecords('/data', decoded));
  const reopened = recoverReplica(createReplica('none', 'a:1', []), checked.unsafeCoerce());
  const indexes = (entries: readonly LogEntry[]): readonly number[] => entries.map((entry) => entry.index);
  assert.equal([reopened.commit, indexes(reopened.entries)], [2, []]);
  assert.is(reopened.state.record?.original?.version, 2);
});

test('records that violate the log invariants are not recovered, and the ring is closed', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  const ring = (await openDiskRing(memory.files)).unsafeCoerce();
  const append = (record: DurableRecord) => {
    const bytes = encodeDurableRecords([record]);
    return ring.append(bytes, () => bytes);
  };
  (await append({ type: 'vote', term: 5, votedFor: 'a' })).unsafeCoerce();
  (await append({ type: 'vote', term: 4, votedFor: 'b' })).unsafeCoerce();
  let isClosed = false;
  const reopened = (await openDiskRing(memory.files)).unsafeCoerce();
  const observedRing = {
    ...reopened,
    close: () => {
      isClosed = true;
      return Promise.resolve();
    },
  };
  const settings = {
    node: 'a',
    locality: 'a',
    http: 'a:2',
    partners: 'a:1',
    seeds: ['a:1'],
    data: '/data',
    ringFiles: 2,
    ringFileBytes: fileBytes,
  };
  const error = (await openReplica(observedRing, settings, () => 'x').run()).swap().toMaybe().extractNullable();
  assert.equal([error?.type, error?.message.startsWith('/data:'), isClosed], ['damaged-disk', true, true]);
});

test('opening a disk that fails at the start is retried; a damaged disk is not', async () => {
  const world = openWorld(2);
  const { clock } = openSimNode(world).begin();
  let attempts = 0;
  const opened = openWithRetry(
    () => {
      attempts += 1;
      return EitherAsync.liftEither(
        attempts < 4 ? Left(typedError(attempts === 2 ? 'disk-refusal' : 'disk-error', 'ENOSPC')) : Right('open'),
      );
    },
    clock,
    { change: () => undefined },
  ).run();
  await world.playUntil(reopenDelayUs * 4);
  assert.is((await opened).unsafeCoerce(), 'open');
  assert.is(attempts, 4);
  let damagedAttempts = 0;
  const damaged = await openWithRetry<string>(
    () => {
      damagedAttempts += 1;
      return EitherAsync.liftEither(Left(typedError('damaged-disk', 'ring-0.bin')));
    },
    clock,
    { change: () => undefined },
  ).run();
  assert.equal([damaged.swap().toMaybe().extractNullable()?.type, damagedAttempts], ['damaged-disk', 1]);
});

test.run();
