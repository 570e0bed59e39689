import { mkdtempSync, readFileSync, readdirSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openRingFolder } from '../../src/disk/open-folder.js';
import { encodeRecord } from '../../src/disk/record-format.js';

const sizes = { files: 3, fileBytes: 1 << 20 };

test('a folder is made once, keeps its records over openings, and a short file in it is damage', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'ledgehill-ring-'));
  try {
    const ring = (await openRingFolder(folder, sizes).run()).unsafeCoerce();
    (await ring.append(Buffer.from('one'), () => Buffer.from('one'))).unsafeCoerce();
    (await ring.append(Buffer.from('two'), () => Buffer.from('never'))).unsafeCoerce();
    await ring.close();
    const again = (await openRingFolder(folder, sizes).run()).unsafeCoerce();
    assert.equal([again.recovered.snapshot?.toString(), ...again.recovered.records.map(String)], ['one', 'two']);
    await again.close();
    truncateSync(join(folder, 'ring-1.bin'), 4096);
    const damaged = await openRingFolder(folder, sizes).run();
    assert.is(damaged.swap().toMaybe().extractNullable()?.type, 'damaged-disk');
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
});

const inFolder = async (play: (folder: string) => Promise<void>): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'ledgehill-ring-'));
  try {
    const ring = (await openRingFolder(folder, sizes).run()).unsafeCoerce();
    (await ring.append(Buffer.from('one'), () => Buffer.from('one'))).unsafeCoerce();
    await ring.close();
    await play(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

/** Opens a folder that is damaged: the error names the file, and no byte of any file is changed. */
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

test('a foreign file of the same size in the place of any ring file is damage', () =>
  inFolder(async (folder) => {
    for (const place of [0, 1, 2]) {
      const path = join(folder, `ring-${place}.bin`);
      const former = readFileSync(path);
      writeFileSync(path, Buffer.alloc(sizes.fileBytes, 'the text of another program\n'));
      await assertDamaged(folder, `ring-${place}.bin`);
      writeFileSync(path, former);
    }
    assert.ok((await openRingFolder(folder, sizes).run()).isRight());
  }));

test('a truncated or missing file is damage', () =>
  inFolder(async (folder) => {
    truncateSync(join(folder, 'ring-0.bin'), 100);
    await assertDamaged(folder, 'ring-0.bin');
    rmSync(join(folder, 'ring-0.bin'));
    await assertDamaged(folder, 'ring-0.bin');
  }));

test('a folder of another format version is damage, and the error names both versions', () =>
  inFolder(async (folder) => {
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
