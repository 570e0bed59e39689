import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkSetup } from '../../src/setup/check/check-setup.js';
import type { Rule } from '../../src/setup/document/rule.js';
import type { Setup } from '../../src/setup/document/setup.js';
import { matchRule } from '../../src/setup/match/rule-index.js';
import { chooseService } from '../../src/setup/match/choose-service.js';
import { setup } from '../decision/fixtures.js';

const [baseRule] = setup.rules;
if (baseRule === undefined) throw new Error('no rule');

const ruleFor = (kind: string, host: string, path: string, fields: Partial<Rule> = {}): Rule => ({
  ...baseRule,
  kind,
  match: { host, path },
  ...fields,
});

const setupWithMatches: Setup = {
  ...setup,
  rules: [
    ruleFor('all', 'a.example', '/'),
    ruleFor('deep', 'a.example', '/x/y/'),
    ruleFor('mid', 'a.example', '/x/'),
    ruleFor('other', 'b.example', '/x/'),
  ],
};

test('the rule with the longest matching path of the host is chosen; a host without rules matches none', () => {
  assert.is(matchRule(setupWithMatches, 'a.example', '/x/y/z')?.kind, 'deep');
  assert.is(matchRule(setupWithMatches, 'a.example', '/x/z')?.kind, 'mid');
  assert.is(matchRule(setupWithMatches, 'A.Example', '/z')?.kind, 'all');
  assert.is(matchRule(setupWithMatches, 'b.example', '/z'), undefined);
  assert.is(matchRule(setupWithMatches, 'c.example', '/'), undefined);
});

test('a split is chosen by weight from the hash of the exchange name; equal names get the same service', () => {
  const split = ruleFor('split', 'a.example', '/', {
    split: [
      { service: 'model', weight: 90 },
      { service: 'status', weight: 10 },
      { service: 'none', weight: 0 },
    ],
  });
  const services = Array.from({ length: 4_000 }, (_, index) => chooseService(split, `e${index}`));
  const fraction = services.filter((service) => service === 'status').length / services.length;
  assert.ok(fraction > 0.08 && fraction < 0.12, `${fraction}`);
  assert.is(services.filter((service) => service === 'none').length, 0);
  assert.is(chooseService(split, 'e7'), chooseService(split, 'e7'));
  assert.is(chooseService(baseRule, 'e7'), baseRule.service);
});

test('duplicate host and path, weights that add up to 0, and unknown services are reported by path', () => {
  const faultsOf = (rules: readonly Rule[]): readonly string[] =>
    checkSetup({ ...setupWithMatches, rules }).caseOf<readonly string[]>({
      Left: (faults) => faults.map((fault) => fault.path),
      Right: () => [],
    });
  assert.equal(faultsOf(setupWithMatches.rules), []);
  assert.equal(faultsOf([...setupWithMatches.rules, ruleFor('again', 'a.example', '/x/')]), ['rules[4].match']);
  assert.equal(faultsOf([ruleFor('k', 'h', '/', { split: [{ service: 'model', weight: 0 }] })]), ['rules[0].split']);
  assert.equal(faultsOf([ruleFor('k', 'h', '/', { split: [{ service: 'gone', weight: 1 }] })]), [
    'rules[0].split[0].service',
  ]);
});

test.run();
