import { mkdtempSync, readFileSync, readdirSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openRingFolder } from '../../src/disk/open-folder.js';
import { encodeRecord } from '../../src/disk/record-format.js';

const sizes = { files: 3, fileBytes: 1 << 20 };

test('a folder is created once and recovers its records when reopened; a truncated file in it is damage', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'ledgehill-ring-'));
  try {
    const ring = (await openRingFolder(folder, sizes).run()).unsafeCoerce();
    (await ring.append(Buffer.from('one'), () => Buffer.from('one'))).unsafeCoerce();
    (await ring.append(Buffer.from('two'), () => Buffer.from('never'))).unsafeCoerce();
    await ring.close();
    const reopened = (await openRingFolder(folder, sizes).run()).unsafeCoerce();
    assert.equal([reopened.recovered.snapshot?.toString(), ...reopened.recovered.records.map(String)], ['one', 'two']);
    await reopened.close();
    truncateSync(join(folder, 'ring-1.bin'), 4096);
    const damaged = await openRingFolder(folder, sizes).run();
    assert.is(damaged.swap().toMaybe().extractNullable()?.type, 'damaged-disk');
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
});

const withRingFolder = async (act: (folder: string) => Promise<void>): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'ledgehill-ring-'));
  try {
    const ring = (await openRingFolder(folder, sizes).run()).unsafeCoerce();
    (await ring.append(Buffer.from('one'), () => Buffer.from('one'))).unsafeCoerce();
    await ring.close();
    await act(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

/** Asserts that opening a damaged folder fails with an error that names the file, and leaves every file unchanged. */
const assertDamaged = async (folder: string, fileName: string): Promise<void> => {
  const bytesBefore = readdirSync(folder).map((name) => readFileSync(join(folder, name)));
  const error = (await openRingFolder(folder, sizes).run()).swap().toMaybe().extractNullable();
  assert.is(error?.type, 'damaged-disk');
  assert.ok(error?.message.includes(join(folder, fileName)) === true, error?.message);
  assert.equal(
    readdirSync(folder).map((name) => readFileSync(join(folder, name))),
    bytesBefore,
  );
};

test('a file of another program with the size of a ring file is damage, in place of any ring file', () =>
  withRingFolder(async (folder) => {
    for (const index of [0, 1, 2]) {
      const path = join(folder, `ring-${index}.bin`);
      const ringBytes = readFileSync(path);
      writeFileSync(path, Buffer.alloc(sizes.fileBytes, 'the text of another program\n'));
      await assertDamaged(folder, `ring-${index}.bin`);
      writeFileSync(path, ringBytes);
    }
    assert.ok((await openRingFolder(folder, sizes).run()).isRight());
  }));

test('a truncated or missing file is damage', () =>
  withRingFolder(async (folder) => {
    truncateSync(join(folder, 'ring-0.bin'), 100);
    await assertDamaged(folder, 'ring-0.bin');
    rmSync(join(folder, 'ring-0.bin'));
    await assertDamaged(folder, 'ring-0.bin');
  }));

test('a folder of another format version is damage, and the error names both versions', () =>
  withRingFolder(async (folder) => {
    const path = join(folder, 'ring-0.bin');
    const bytes = readFileSync(path);
    bytes.fill(0, 0, 64);
    encodeRecord(1, 0, Buffer.from('ledgehill ring 9')).copy(bytes, 0);
    writeFileSync(path, bytes);
    await assertDamaged(folder, 'ring-0.bin');
    const error = (await openRingFolder(folder, sizes).run()).swap().toMaybe().extractNullable();
    assert.ok(error?.message.includes('ring 9') === true && error.message.includes('ring 2'), error?.message);
  }));

test.run();
