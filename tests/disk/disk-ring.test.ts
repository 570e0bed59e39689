import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRandom, randomBelow } from '../../src/common/random.js';
import { openDiskRing, type DiskRing } from '../../src/disk/disk-ring.js';
import { firstRecordOffset } from '../../src/disk/record-format.js';
import { openMemoryFiles, type MemoryFiles } from '../../src/sim/disk/memory-files.js';
import { allLost, drawnWriteFates } from '../../src/sim/disk/write-fate.js';

const fileBytes = 1024;

const opened = async (memory: MemoryFiles): Promise<DiskRing> => (await openDiskRing(memory.files)).unsafeCoerce();

const errorOf = async (memory: MemoryFiles): Promise<string | undefined> => {
  const result = await openDiskRing(memory.files);
  return result.swap().toMaybe().extractNullable()?.type;
};

/** The recovered snapshot and records of a ring, concatenated: the letters appended so far. */
const textOf = (ring: DiskRing): string =>
  [ring.recovered.snapshot, ...ring.recovered.records].map((bytes) => bytes?.toString() ?? '').join('');

const appendLetters = async (ring: DiskRing, startText: string, letters: string): Promise<string> => {
  let text = startText;
  for (const letter of letters) {
    text += letter;
    const snapshot = text;
    (await ring.append(Buffer.from(letter), () => Buffer.from(snapshot))).unsafeCoerce();
  }
  return text;
};

const alphabet = 'abcdefghijklmnopqrstuvwxyz'.repeat(8);

test('every record is recovered, also after many rotations through the ring', async () => {
  const memory = openMemoryFiles(3, fileBytes);
  const text = await appendLetters(await opened(memory), '', alphabet);
  assert.is(textOf(await opened(memory)), text);
  const longer = await appendLetters(await opened(memory), text, 'ABC');
  assert.is(textOf(await opened(memory)), longer);
});

test('a power failure at any write loses only unsynced records', async () => {
  for (let failing = 1; failing < 120; failing += 1) {
    const memory = openMemoryFiles(3, fileBytes);
    memory.failFrom(failing);
    const ring = await opened(memory);
    const chance = seededRandom(failing);
    let acknowledged = '';
    let appended = '';
    for (const letter of alphabet.slice(0, 60)) {
      appended += letter;
      const snapshot = appended;
      if ((await ring.append(Buffer.from(letter), () => Buffer.from(snapshot))).isLeft()) break;
      acknowledged = appended;
    }
    const recoveredText = textOf(await opened(memory.afterPowerLoss(drawnWriteFates(chance))));
    assert.ok(
      recoveredText === acknowledged || recoveredText === appended,
      `write ${failing}: acknowledged ${acknowledged}, recovered ${recoveredText}`,
    );
  }
});

test('a power failure at any write loses only unsynced records while ring files are reused', async () => {
  for (let failing = 1; failing < 420; failing += 1) {
    const memory = openMemoryFiles(2, fileBytes);
    memory.failFrom(failing);
    const ring = await opened(memory);
    const chance = seededRandom(failing);
    let acknowledged = '';
    let appended = '';
    for (const letter of alphabet.slice(0, 180)) {
      appended += letter;
      const snapshot = appended;
      if ((await ring.append(Buffer.from(letter), () => Buffer.from(snapshot))).isLeft()) break;
      acknowledged = appended;
    }
    const recoveredText = textOf(await opened(memory.afterPowerLoss(drawnWriteFates(chance))));
    assert.ok(
      recoveredText === acknowledged || recoveredText === appended,
      `write ${failing}: acknowledged ${acknowledged}, recovered ${recoveredText}`,
    );
  }
});

test('after temporary refusals at any write, a record that is appended again is recovered exactly once', async () => {
  for (let failing = 1; failing < 200; failing += 1) {
    const memory = openMemoryFiles(2, fileBytes);
    memory.failFrom(failing);
    const ring = await opened(memory);
    let appended = '';
    for (const letter of alphabet.slice(0, 90)) {
      appended += letter;
      const snapshot = appended;
      const append = () => ring.append(Buffer.from(letter), () => Buffer.from(snapshot));
      for (let refusal = 0; refusal < 2; refusal += 1)
        if ((await append()).isRight()) break;
        else if (refusal === 1) {
          memory.failFrom(Number.POSITIVE_INFINITY);
          assert.ok((await append()).isRight());
        }
    }
    assert.is(textOf(await opened(memory)), appended, `write ${failing}`);
    assert.is(textOf(await opened(memory.afterPowerLoss(allLost))), appended, `write ${failing}, then power failure`);
  }
});

test('a changed byte in any synced record is detected as damage', async () => {
  const chance = seededRandom(7);
  for (let round = 0; round < 200; round += 1) {
    const memory = openMemoryFiles(2, fileBytes);
    const ring = await opened(memory);
    await appendLetters(ring, '', alphabet.slice(0, 12));
    const bytes = [memory.bytesOf(0), memory.bytesOf(1)];
    const usedBytes = 12 * 24;
    const offset = firstRecordOffset + randomBelow(chance, usedBytes);
    const target = bytes[0];
    if (target === undefined) throw new Error('no file');
    const isPadding = (offset - firstRecordOffset) % 24 >= 17;
    target[offset] = (target[offset] ?? 0) ^ (1 + randomBelow(chance, 255));
    const damaged = openMemoryFiles(2, fileBytes, bytes);
    assert.is(await errorOf(damaged), isPadding ? undefined : 'damaged-disk', `byte ${offset}`);
  }
});

test('a newest file without its synced snapshot is damage; no older state is recovered', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  await appendLetters(await opened(memory), '', alphabet.slice(0, 45));
  const bytes = [memory.bytesOf(0), memory.bytesOf(1)];
  bytes[1]?.fill(0, firstRecordOffset, firstRecordOffset + 40);
  assert.is(await errorOf(openMemoryFiles(2, fileBytes, bytes)), 'damaged-disk');
});

test('a newest file without its header is damage, also if it is the only file in use', async () => {
  for (const letters of [12, 45]) {
    const memory = openMemoryFiles(2, fileBytes);
    await appendLetters(await opened(memory), '', alphabet.slice(0, letters));
    const bytes = [memory.bytesOf(0), memory.bytesOf(1)];
    bytes[letters === 12 ? 0 : 1]?.fill(0, 0, 64);
    assert.is(await errorOf(openMemoryFiles(2, fileBytes, bytes)), 'damaged-disk');
  }
});

test('a snapshot larger than a ring file is an error and leaves the ring unchanged', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  const ring = await opened(memory);
  const text = await appendLetters(ring, '', 'abc');
  const result = await ring.append(Buffer.alloc(2000, 'x'), () => Buffer.alloc(2000, 'x'));
  assert.is(result.swap().toMaybe().extractNullable()?.type, 'disk-error');
  assert.is(textOf(await opened(memory)), text);
});

test.run();
