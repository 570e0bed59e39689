import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { isSetup } from '../../src/setup/check/setup-guard.js';

/** Every document that lacks one value of another, or has a wrong one in its place, with the path of that value. */
const spoiled = (value: unknown, path = ''): readonly (readonly [string, unknown])[] => {
  if (typeof value !== 'object' || value === null) return [[path, null]];
  if (Array.isArray(value)) {
    const items: readonly unknown[] = value;
    return [
      [path, {}],
      ...spoiled(items[0], `${path}[0]`).map(([at, item]) => [at, [item, ...items.slice(1)]] as const),
    ];
  }
  return Object.entries(value).flatMap(([key, inner]) => [
    [`${path}.${key} left out`, Object.fromEntries(Object.entries(value).filter(([name]) => name !== key))] as const,
    ...spoiled(inner, `${path}.${key}`).map(([at, changed]) => [at, { ...value, [key]: changed }] as const),
  ]);
};

/** Where the operator does not tell how many routers there are, they are counted. */
const mayBeLeftOut = '.fleet left out';

test('the form that processes look for in a setup lets the shipped ones through and misses no field', () => {
  for (const deployment of ['archive', 'cuenca']) {
    const setup: unknown = JSON.parse(readFileSync(`examples/${deployment}/setup.json`, 'utf8'));
    assert.ok(isSetup(setup));
    const wrongs = spoiled(setup);
    assert.ok(wrongs.length > 60, `${wrongs.length} ways to spoil it`);
    assert.ok(wrongs.some(([path]) => path === mayBeLeftOut));
    for (const [path, wrong] of wrongs) assert.is(isSetup(wrong), path === mayBeLeftOut, path);
  }
});

test.run();
