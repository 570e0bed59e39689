import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openDiskRing, type DiskRing } from '../../src/disk/disk-ring.js';
import { firstRecordOffset } from '../../src/disk/record-format.js';
import type { RingFile } from '../../src/disk/ring-file.js';
import { openMemoryFiles, type MemoryFiles } from '../../src/sim/disk/memory-files.js';
import { allLost, type WriteFates } from '../../src/sim/disk/write-fate.js';
import { playCrashImages } from './crash-images/crash-images.js';

const fileBytes = 1024;
const snapshotPadding = 'x'.repeat(200);

const opened = async (memory: MemoryFiles): Promise<DiskRing> => (await openDiskRing(memory.files)).unsafeCoerce();

const newestOf = ({ recovered }: DiskRing): string | undefined =>
  (recovered.records.at(-1) ?? recovered.snapshot)?.toString().replace(snapshotPadding, '');

const appendText = async (ring: DiskRing, text: string): Promise<void> => {
  (await ring.append(Buffer.from(text), () => Buffer.from(text))).unsafeCoerce();
};

/** Files whose syncs fail once `isLost` holds, as in a power failure during a sync. */
const filesWithFailingSync = (memory: MemoryFiles, isLost: () => boolean): readonly RingFile[] =>
  memory.files.map((file) => ({
    ...file,
    sync: () => (isLost() ? Promise.reject(new Error('power failure')) : file.sync()),
  }));

/**
 * Appends numbered records until the sync of rotation number `rotations` fails; returns the last acknowledged record.
 */
const appendUntilRotationFails = async (memory: MemoryFiles, rotations: number): Promise<string> => {
  let startedRotations = 0;
  const ring = (await openDiskRing(filesWithFailingSync(memory, () => startedRotations === rotations))).unsafeCoerce();
  const snapshotOf = (number: number) => () => {
    startedRotations += 1;
    return Buffer.from(`${snapshotPadding}record ${number}`);
  };
  for (let number = 1; ; number += 1)
    if ((await ring.append(Buffer.from(`record ${number}`), snapshotOf(number))).isLeft())
      return `record ${number - 1}`;
};

/** The writes of the file header and the marks are lost, all writes behind them reach the disk. */
const headLost: WriteFates = ({ offset }) => (offset < firstRecordOffset ? { type: 'lost' } : { type: 'kept' });

// Guards against: a control node that can not start after a power failure during a rotation to the next ring file.
test('a file with its old header but overwritten records is ignored in favour of the newer file', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  const acknowledged = await appendUntilRotationFails(memory, 3);
  const reopened = await opened(memory.afterPowerLoss(headLost));
  assert.is(newestOf(reopened), acknowledged);
});

// Guards against: an unsynced record that is acknowledged after a restart and lost in a later power failure.
test('a record recovered after a kill of the process survives a later power failure', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  await appendUntilRotationFails(memory, 3);
  const afterKill = newestOf(await opened(memory));
  assert.is(newestOf(await opened(memory.afterPowerLoss(allLost))), afterKill);
});

/** The writes behind the file header and the marks are lost, those of the header and the marks reach the disk. */
const snapshotLost: WriteFates = ({ offset }) => (offset < firstRecordOffset ? { type: 'kept' } : { type: 'lost' });

/** Starts a rotation and lets the power fail during its sync; `fates` decide which writes reach the disk. */
const losePowerInRotation = async (memory: MemoryFiles, snapshot: string, fates: WriteFates): Promise<MemoryFiles> => {
  let isLost = false;
  const ring = (await openDiskRing(filesWithFailingSync(memory, () => isLost))).unsafeCoerce();
  isLost = true;
  assert.ok((await ring.append(Buffer.alloc(fileBytes), () => Buffer.from(snapshot))).isLeft());
  return memory.afterPowerLoss(fates);
};

// Guards against: loss of an acknowledged record when two interrupted rotations together complete an older snapshot.
test('the header of an interrupted rotation does not make the snapshot of an earlier one valid', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  await appendText(await opened(memory), 'first');
  const afterFirst = await losePowerInRotation(memory, 'first, interrupted', headLost);
  await appendText(await opened(afterFirst), 'second');
  const afterSecond = await losePowerInRotation(afterFirst, 'first, second, interrupted', snapshotLost);
  assert.is(newestOf(await opened(afterSecond)), 'second');
});

// Guards against: any other state of the files after a crash that can not be opened or lacks acknowledged records.
test('the files open after random crashes with all acknowledged records', async () => {
  for (const seed of [1, 2, 3]) assert.equal((await playCrashImages(seed, 150)).faults, [], `seed ${seed}`);
});

test.run();
