import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { isSetup } from '../../src/setup/check/setup-guard.js';

/** Copies of a document, each with one value removed or replaced by an invalid one, with the path of that value. */
const invalidVariants = (value: unknown, path = ''): readonly (readonly [string, unknown])[] => {
  if (typeof value !== 'object' || value === null) return [[path, null]];
  if (Array.isArray(value)) {
    const items: readonly unknown[] = value;
    return [
      [path, {}],
      ...invalidVariants(items[0], `${path}[0]`).map(([at, item]) => [at, [item, ...items.slice(1)]] as const),
    ];
  }
  return Object.entries(value).flatMap(([key, inner]) => [
    [`${path}.${key} removed`, Object.fromEntries(Object.entries(value).filter(([name]) => name !== key))] as const,
    ...invalidVariants(inner, `${path}.${key}`).map(([at, changed]) => [at, { ...value, [key]: changed }] as const),
  ]);
};

/** The number of routers is optional; without it the live routers are counted. */
const optionalRemoved = '.fleet removed';

test('the structural check accepts the example setups and rejects each with any one required field removed or invalid', () => {
  for (const deployment of ['archive', 'cuenca']) {
    const setup: unknown = JSON.parse(readFileSync(`examples/${deployment}/setup.json`, 'utf8'));
    assert.ok(isSetup(setup));
    const variants = invalidVariants(setup);
    assert.ok(variants.length > 60, `${variants.length} invalid variants`);
    assert.ok(variants.some(([path]) => path === optionalRemoved));
    for (const [path, variant] of variants) assert.is(isSetup(variant), path === optionalRemoved, path);
  }
});

test.run();
