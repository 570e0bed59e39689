import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { applyMutant } from './apply-mutant.js';
import { mutants } from './mutants.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));

test('every deliberate fault still applies: its text stands exactly once in its file, and the change is one', () => {
  for (const { name, file, find, put } of mutants) {
    const changed = applyMutant(readFileSync(join(root, file), 'utf8'), { find, put });
    assert.is.not(changed, undefined, `${name}: ${file}`);
    assert.is.not(put, find, name);
  }
});

test('every deliberate fault has its own name', () => {
  assert.is(new Set(mutants.map((mutant) => mutant.name)).size, mutants.length);
});

test.run();
