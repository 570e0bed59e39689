import { mkdtempSync, rmSync, truncateSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openRingFolder } from '../../src/disk/open-folder.js';

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

test.run();
