import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededChance, wholeBelow, type Chance } from '../../src/common/chance.js';
import type { DataFile, DataFolder } from '../../src/disk/data-folder.js';
import type { DiskRing } from '../../src/disk/disk-ring.js';
import { openRingIn } from '../../src/disk/open-folder.js';
import { openMemoryFolder, type MemoryFolder } from '../../src/sim/disk/memory-folder.js';
import { drawnWriteFates } from '../../src/sim/disk/write-fate.js';

const sizes = { files: 2, fileBytes: 2_048 };
/** Making a folder and opening it take fewer operations than this. */
const mostOperations = 40;
const livesPerSession = 5;
const sessions = 400;
const seeds = [1, 2, 3];

/** The process ends: from a certain operation on, none has an effect. */
const folderUntil = (folder: DataFolder, endsAt: number): DataFolder => {
  let operations = 0;
  const orEnded = <T>(operate: () => Promise<T>): Promise<T> => {
    operations += 1;
    return operations >= endsAt ? Promise.reject(new Error('the process has ended')) : operate();
  };
  const fileUntil = (file: DataFile): DataFile => ({
    read: file.read,
    write: (offset, bytes) => orEnded(() => file.write(offset, bytes)),
    sync: () => orEnded(file.sync),
    close: file.close,
  });
  return {
    ...folder,
    create: (name) => orEnded(async () => fileUntil(await folder.create(name))),
    open: async (name) => fileUntil(await folder.open(name)),
    sync: () => orEnded(folder.sync),
  };
};

const newestOf = ({ recovered }: DiskRing): number =>
  Number((recovered.records.at(-1) ?? recovered.snapshot ?? Buffer.from('0')).toString());

/** Appends numbers until the process ends; gives the newest one that was acknowledged. */
const appendUntilEnded = async (ring: DiskRing, newest: number): Promise<number> => {
  for (let number = newest + 1; ; number += 1) {
    const bytes = Buffer.from(String(number));
    if ((await ring.append(bytes, () => bytes)).isLeft()) return number - 1;
  }
};

/** Lives of one process on one folder, each ended at a random operation, most of them with a loss of power. */
const playSession = async (chance: Chance): Promise<void> => {
  let folder: MemoryFolder = openMemoryFolder();
  let acknowledged = 0;
  for (let life = 0; life < livesPerSession; life += 1) {
    const opened = await openRingIn(folderUntil(folder, 1 + wholeBelow(chance, mostOperations)), sizes).run();
    opened.ifLeft(({ type, message }) => assert.is.not(type, 'damaged-disk', message));
    if (opened.isRight()) {
      const ring = opened.unsafeCoerce();
      assert.ok(newestOf(ring) >= acknowledged, `${acknowledged} was acknowledged, ${newestOf(ring)} came back`);
      acknowledged = await appendUntilEnded(ring, newestOf(ring));
    }
    if (chance() < 0.7) folder = folder.afterPowerLoss(chance, drawnWriteFates(chance));
  }
  const last = await openRingIn(folder, sizes).run();
  assert.ok(last.isRight(), last.swap().toMaybe().extract()?.message ?? '');
  assert.ok(newestOf(last.unsafeCoerce()) >= acknowledged);
};

// Guards against: a core machine never starts again after power was lost while its data folder was being made, or loses
// what it acknowledged because the folder was never synced.
test('a data folder opens after any kill or loss of power while it is made, and holds what was acknowledged', async () => {
  for (const seed of seeds) {
    const chance = seededChance(seed);
    for (let session = 0; session < sessions; session += 1) await playSession(chance);
  }
});

test.run();
