import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededChance, wholeBelow } from '../../src/common/chance.js';
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

/** Everything that a ring gave back, as one text: the snapshot and the records after it, each a letter list. */
const textOf = (ring: DiskRing): string =>
  [ring.recovered.snapshot, ...ring.recovered.records].map((bytes) => bytes?.toString() ?? '').join('');

const appendLetters = async (ring: DiskRing, kept: string, letters: string): Promise<string> => {
  let text = kept;
  for (const letter of letters) {
    text += letter;
    const snapshot = text;
    (await ring.append(Buffer.from(letter), () => Buffer.from(snapshot))).unsafeCoerce();
  }
  return text;
};

const alphabet = 'abcdefghijklmnopqrstuvwxyz'.repeat(8);

test('every record is given back, over many turns of the ring', async () => {
  const memory = openMemoryFiles(3, fileBytes);
  const text = await appendLetters(await opened(memory), '', alphabet);
  assert.is(textOf(await opened(memory)), text);
  const longer = await appendLetters(await opened(memory), text, 'ABC');
  assert.is(textOf(await opened(memory)), longer);
});

test('power lost at any write loses only what was not synced', async () => {
  for (let failing = 1; failing < 120; failing += 1) {
    const memory = openMemoryFiles(3, fileBytes);
    memory.failFrom(failing);
    const ring = await opened(memory);
    const chance = seededChance(failing);
    let acknowledged = '';
    let asked = '';
    for (const letter of alphabet.slice(0, 60)) {
      asked += letter;
      const snapshot = asked;
      if ((await ring.append(Buffer.from(letter), () => Buffer.from(snapshot))).isLeft()) break;
      acknowledged = asked;
    }
    const left = textOf(await opened(memory.afterPowerLoss(drawnWriteFates(chance))));
    assert.ok(left === acknowledged || left === asked, `write ${failing}: ${acknowledged} was kept, ${left} came back`);
  }
});

test('power lost at any write while files are used again loses only what was not synced', async () => {
  for (let failing = 1; failing < 420; failing += 1) {
    const memory = openMemoryFiles(2, fileBytes);
    memory.failFrom(failing);
    const ring = await opened(memory);
    const chance = seededChance(failing);
    let acknowledged = '';
    let asked = '';
    for (const letter of alphabet.slice(0, 180)) {
      asked += letter;
      const snapshot = asked;
      if ((await ring.append(Buffer.from(letter), () => Buffer.from(snapshot))).isLeft()) break;
      acknowledged = asked;
    }
    const left = textOf(await opened(memory.afterPowerLoss(drawnWriteFates(chance))));
    assert.ok(left === acknowledged || left === asked, `write ${failing}: ${acknowledged} was kept, ${left} came back`);
  }
});

test('a write that is refused for a while is kept once when it is asked for again, at any write', async () => {
  for (let failing = 1; failing < 200; failing += 1) {
    const memory = openMemoryFiles(2, fileBytes);
    memory.failFrom(failing);
    const ring = await opened(memory);
    let asked = '';
    for (const letter of alphabet.slice(0, 90)) {
      asked += letter;
      const snapshot = asked;
      const append = () => ring.append(Buffer.from(letter), () => Buffer.from(snapshot));
      for (let refusal = 0; refusal < 2; refusal += 1)
        if ((await append()).isRight()) break;
        else if (refusal === 1) {
          memory.failFrom(Number.POSITIVE_INFINITY);
          assert.ok((await append()).isRight());
        }
    }
    assert.is(textOf(await opened(memory)), asked, `write ${failing}`);
    assert.is(textOf(await opened(memory.afterPowerLoss(allLost))), asked, `write ${failing}, then power lost`);
  }
});

test('a changed byte in anything that was synced is found, never passed over', async () => {
  const chance = seededChance(7);
  for (let round = 0; round < 200; round += 1) {
    const memory = openMemoryFiles(2, fileBytes);
    const ring = await opened(memory);
    await appendLetters(ring, '', alphabet.slice(0, 12));
    const bytes = [memory.bytesOf(0), memory.bytesOf(1)];
    const usedBytes = 12 * 24;
    const place = firstRecordOffset + wholeBelow(chance, usedBytes);
    const target = bytes[0];
    if (target === undefined) throw new Error('no file');
    const isPadding = (place - firstRecordOffset) % 24 >= 17;
    target[place] = (target[place] ?? 0) ^ (1 + wholeBelow(chance, 255));
    const damaged = openMemoryFiles(2, fileBytes, bytes);
    assert.is(await errorOf(damaged), isPadding ? undefined : 'damaged-disk', `byte ${place}`);
  }
});

test('a newest file whose synced snapshot is gone is damage, not an older state', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  await appendLetters(await opened(memory), '', alphabet.slice(0, 45));
  const bytes = [memory.bytesOf(0), memory.bytesOf(1)];
  bytes[1]?.fill(0, firstRecordOffset, firstRecordOffset + 40);
  assert.is(await errorOf(openMemoryFiles(2, fileBytes, bytes)), 'damaged-disk');
});

test('a newest file whose head is gone is damage, and so is the only one', async () => {
  for (const letters of [12, 45]) {
    const memory = openMemoryFiles(2, fileBytes);
    await appendLetters(await opened(memory), '', alphabet.slice(0, letters));
    const bytes = [memory.bytesOf(0), memory.bytesOf(1)];
    bytes[letters === 12 ? 0 : 1]?.fill(0, 0, 64);
    assert.is(await errorOf(openMemoryFiles(2, fileBytes, bytes)), 'damaged-disk');
  }
});

test('a snapshot that does not fit is an error and changes nothing', async () => {
  const memory = openMemoryFiles(2, fileBytes);
  const ring = await opened(memory);
  const text = await appendLetters(ring, '', 'abc');
  const result = await ring.append(Buffer.alloc(2000, 'x'), () => Buffer.alloc(2000, 'x'));
  assert.is(result.swap().toMaybe().extractNullable()?.type, 'disk-error');
  assert.is(textOf(await opened(memory)), text);
});

test.run();
