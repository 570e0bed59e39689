import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkSetup } from '../../src/setup/check/check-setup.js';
import { convertObjects } from '../../src/setup/objects/convert-objects.js';

const objectsOf = (deployment: string): string => readFileSync(`examples/${deployment}/objects.yaml`, 'utf8');

test('the objects that are shipped describe the setups that are shipped', () => {
  for (const deployment of ['archive', 'cuenca']) {
    const setup: unknown = JSON.parse(readFileSync(`examples/${deployment}/setup.json`, 'utf8'));
    assert.equal(convertObjects(objectsOf(deployment)).unsafeCoerce(), checkSetup(setup).unsafeCoerce());
  }
});

test('a document may be JSON as well', () => {
  const one = JSON.stringify({
    apiVersion: 'ledgehill/v1',
    kind: 'Tier',
    metadata: { name: 'extra' },
    spec: { weight: 1, share: 0.1 },
  });
  const setup = convertObjects(`${objectsOf('cuenca')}---\n${one}\n`).unsafeCoerce();
  assert.is(setup.tiers[setup.tiers.length - 1]?.name, 'extra');
});

test('whatever does not hold is named by document and path, and nothing is made of the rest', () => {
  const text = objectsOf('archive');
  const cases: readonly (readonly [string, string, string])[] = [
    [text.replace('ledgehill/v1', 'v2'), 'document 1: apiVersion', 'must be ledgehill/v1'],
    [text.replace('kind: Tier', 'kind: Tear'), 'document 4: kind', 'must be one of Fleet, Service, Tier, Rule, Tenant'],
    [text.replace('metadata:', 'metadate:'), 'document 1', 'metadate'],
    [text.replace('routers: 6', 'routers: six'), 'document 1 (Fleet', 'fleet.routers'],
    [text.replace('vnodes:', 'vnodez:'), 'document 1 (Fleet', 'vnodez'],
    [text.replace('silenceUs: 4000000', 'silenceUs: -4'), '(Rule catalogue-question): spec.silenceUs', ''],
    [text.replace('  silenceUs: 4000000\n', ''), '(Rule catalogue-question): spec.silenceUs', 'required'],
    [
      text.replace('service: "plate-model"', 'service: "nowhere"'),
      '(Rule catalogue-question): spec.service',
      'nowhere',
    ],
    [`${text}---\n${text.split('---\n')[0]}`, '(Fleet', 'there is a Fleet already'],
    [text.split('---\n').slice(1).join('---\n'), 'documents', 'kind Fleet'],
    [`${text}---\nspec: [1\n`, 'document 11', 'Flow sequence'],
  ];
  for (const [changed, path, word] of cases) {
    assert.is.not(changed, text, `${path} is changed`);
    const faults = convertObjects(changed).swap().unsafeCoerce();
    const told = faults.map((fault) => `${fault.path} ${fault.message}`).join('\n');
    assert.ok(told.includes(path) && told.includes(word), `${path} ${word}: ${told}`);
  }
});

test.run();
