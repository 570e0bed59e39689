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

/** Files whose syncs fail from a moment on, as where power is lost in them. */
const filesWithoutSync = (memory: MemoryFiles, isLost: () => boolean): readonly RingFile[] =>
  memory.files.map((file) => ({
    ...file,
    sync: () => (isLost() ? Promise.reject(new Error('power is lost')) : file.sync()),
  }));

/** Appends numbered records until power is lost in the sync of the last of so many new files; gives the newest acknowledged. */
const appendUntilRotationFails = async (memory: MemoryFiles, rotations: number): Promise<string> => {
  let begun = 0;
  const ring = (await openDiskRing(filesWithoutSync(memory, () => begun === rotations))).unsafeCoerce();
  const snapshotOf = (number: number) => () => {
    begun += 1;
    return Buffer.from(`${snapshotPadding}record ${number}`);
  };
  for (let number = 1; ; number += 1)
    if ((await ring.append(Buffer.from(`record ${number}`), snapshotOf(number))).isLeft())
      return `record ${number - 1}`;
};

/** The head and the marks of a file never reach the disk, what stands behind them does. */
const headLost: WriteFates = ({ offset }) => (offset < firstRecordOffset ? { type: 'lost' } : { type: 'kept' });

// Guards against: a core machine never starts again after power was lost while the next ring file was being made.
test('a file whose head is still the former one and whose records are overwritten gives way to the newer file', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  const acknowledged = await appendUntilRotationFails(memory, 3);
  const again = await opened(memory.afterPowerLoss(headLost));
  assert.is(newestOf(again), acknowledged);
});

// Guards against: a record that was never synced is acknowledged after a restart, and gone after a loss of power.
test('a record that came back after the process was killed is still there after power is lost', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  await appendUntilRotationFails(memory, 3);
  const afterKill = newestOf(await opened(memory));
  assert.is(newestOf(await opened(memory.afterPowerLoss(allLost))), afterKill);
});

/** What stands behind the head of a file never reaches the disk, the head does. */
const snapshotLost: WriteFates = ({ offset }) => (offset < firstRecordOffset ? { type: 'kept' } : { type: 'lost' });

/** Begins a new file for a record that does not fit; power is lost in the sync, and leaves what the fates say. */
const losePowerInRotation = async (memory: MemoryFiles, snapshot: string, fates: WriteFates): Promise<MemoryFiles> => {
  let isLost = false;
  const ring = (await openDiskRing(filesWithoutSync(memory, () => isLost))).unsafeCoerce();
  isLost = true;
  assert.ok((await ring.append(Buffer.alloc(fileBytes), () => Buffer.from(snapshot))).isLeft());
  return memory.afterPowerLoss(fates);
};

// Guards against: an acknowledged record is gone, since two interrupted rotations together leave an older snapshot whole.
test('the head of an interrupted rotation does not bring back the snapshot of a former one', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  await appendText(await opened(memory), 'first');
  const afterFirst = await losePowerInRotation(memory, 'first, interrupted', headLost);
  await appendText(await opened(afterFirst), 'second');
  const afterSecond = await losePowerInRotation(afterFirst, 'first, second, interrupted', snapshotLost);
  assert.is(newestOf(await opened(afterSecond)), 'second');
});

// Guards against: any other image of the files after a crash that can not be opened, or that lacks what was acknowledged.
test('random images after crashes open and hold what was acknowledged', async () => {
  for (const seed of [1, 2, 3]) assert.equal((await playCrashImages(seed, 150)).faults, [], `seed ${seed}`);
});

test.run();
