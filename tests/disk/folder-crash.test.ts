import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRandom, randomBelow, type RandomSource } from '../../src/common/random.js';
import type { DataFile, DataFolder } from '../../src/disk/data-folder.js';
import type { DiskRing } from '../../src/disk/disk-ring.js';
import { openRingIn } from '../../src/disk/open-folder.js';
import { openMemoryFolder, type MemoryFolder } from '../../src/sim/disk/memory-folder.js';
import { drawnWriteFates } from '../../src/sim/disk/write-fate.js';

const sizes = { files: 2, fileBytes: 2_048 };
/** Creating a folder and opening its ring takes fewer operations than this. */
const maxOperations = 40;
const processesPerSession = 5;
const sessions = 400;
const seeds = [1, 2, 3];

/** A folder whose process is killed: from operation `killAt` on, no operation has an effect. */
const folderKilledAt = (folder: DataFolder, killAt: number): DataFolder => {
  let operations = 0;
  const unlessKilled = <T>(operate: () => Promise<T>): Promise<T> => {
    operations += 1;
    return operations >= killAt ? Promise.reject(new Error('the process was killed')) : operate();
  };
  const fileKilledAt = (file: DataFile): DataFile => ({
    read: file.read,
    write: (offset, bytes) => unlessKilled(() => file.write(offset, bytes)),
    sync: () => unlessKilled(file.sync),
    close: file.close,
  });
  return {
    ...folder,
    create: (name) => unlessKilled(async () => fileKilledAt(await folder.create(name))),
    open: async (name) => fileKilledAt(await folder.open(name)),
    sync: () => unlessKilled(folder.sync),
  };
};

const newestOf = ({ recovered }: DiskRing): number =>
  Number((recovered.records.at(-1) ?? recovered.snapshot ?? Buffer.from('0')).toString());

/** Appends ascending numbers until the process is killed; returns the last acknowledged one. */
const appendUntilKilled = async (ring: DiskRing, newest: number): Promise<number> => {
  for (let number = newest + 1; ; number += 1) {
    const bytes = Buffer.from(String(number));
    if ((await ring.append(bytes, () => bytes)).isLeft()) return number - 1;
  }
};

/** Runs several processes in turn on one folder; each is killed at a random operation, mostly with a power failure. */
const playSession = async (chance: RandomSource): Promise<void> => {
  let folder: MemoryFolder = openMemoryFolder();
  let acknowledged = 0;
  for (let count = 0; count < processesPerSession; count += 1) {
    const opened = await openRingIn(folderKilledAt(folder, 1 + randomBelow(chance, maxOperations)), sizes).run();
    opened.ifLeft(({ type, message }) => assert.is.not(type, 'damaged-disk', message));
    if (opened.isRight()) {
      const ring = opened.unsafeCoerce();
      assert.ok(newestOf(ring) >= acknowledged, `acknowledged ${acknowledged}, recovered ${newestOf(ring)}`);
      acknowledged = await appendUntilKilled(ring, newestOf(ring));
    }
    if (chance() < 0.7) folder = folder.afterPowerLoss(chance, drawnWriteFates(chance));
  }
  const last = await openRingIn(folder, sizes).run();
  assert.ok(last.isRight(), last.swap().toMaybe().extract()?.message ?? '');
  assert.ok(newestOf(last.unsafeCoerce()) >= acknowledged);
};

// Guards against: a control node that can not start after a power failure during the creation of its data folder, or
// that loses acknowledged records because the folder was never synced.
test('after a kill or power failure at any point of its creation, a data folder opens with all acknowledged records', async () => {
  for (const seed of seeds) {
    const chance = seededRandom(seed);
    for (let session = 0; session < sessions; session += 1) await playSession(chance);
  }
});

test.run();
