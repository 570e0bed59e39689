import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkSetup } from '../../src/setup/check/check-setup.js';
import type { Rule } from '../../src/setup/document/rule.js';
import type { Setup } from '../../src/setup/document/setup.js';
import { ruleAt } from '../../src/setup/match/rule-index.js';
import { shareOf } from '../../src/setup/match/share-of.js';
import { setup } from '../decision/fixtures.js';

const [ask] = setup.rules;
if (ask === undefined) throw new Error('no rule');

const at = (kind: string, host: string, path: string, more: Partial<Rule> = {}): Rule => ({
  ...ask,
  kind,
  match: { host, path },
  ...more,
});

const placed: Setup = {
  ...setup,
  rules: [
    at('all', 'a.example', '/'),
    at('deep', 'a.example', '/x/y/'),
    at('mid', 'a.example', '/x/'),
    at('other', 'b.example', '/x/'),
  ],
};

test('of the rules of a host the one with the longest path goes first; a host without rules has none', () => {
  assert.is(ruleAt(placed, 'a.example', '/x/y/z')?.kind, 'deep');
  assert.is(ruleAt(placed, 'a.example', '/x/z')?.kind, 'mid');
  assert.is(ruleAt(placed, 'A.Example', '/z')?.kind, 'all');
  assert.is(ruleAt(placed, 'b.example', '/z'), undefined);
  assert.is(ruleAt(placed, 'c.example', '/'), undefined);
});

test('a split is drawn by weight from the name of the exchange, and always alike for one name', () => {
  const split = at('split', 'a.example', '/', {
    split: [
      { service: 'model', weight: 90 },
      { service: 'status', weight: 10 },
      { service: 'none', weight: 0 },
    ],
  });
  const drawn = Array.from({ length: 4_000 }, (_, place) => shareOf(split, `e${place}`));
  const part = drawn.filter((service) => service === 'status').length / drawn.length;
  assert.ok(part > 0.08 && part < 0.12, `${part}`);
  assert.is(drawn.filter((service) => service === 'none').length, 0);
  assert.is(shareOf(split, 'e7'), shareOf(split, 'e7'));
  assert.is(shareOf(ask, 'e7'), ask.service);
});

test('two rules for one place, weights that add up to 0 and unknown services are named by path', () => {
  const faultsOf = (rules: readonly Rule[]): readonly string[] =>
    checkSetup({ ...placed, rules }).caseOf<readonly string[]>({
      Left: (faults) => faults.map((fault) => fault.path),
      Right: () => [],
    });
  assert.equal(faultsOf(placed.rules), []);
  assert.equal(faultsOf([...placed.rules, at('again', 'a.example', '/x/')]), ['rules[4].match']);
  assert.equal(faultsOf([at('k', 'h', '/', { split: [{ service: 'model', weight: 0 }] })]), ['rules[0].split']);
  assert.equal(faultsOf([at('k', 'h', '/', { split: [{ service: 'gone', weight: 1 }] })]), [
    'rules[0].split[0].service',
  ]);
});

test.run();
