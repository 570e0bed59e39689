import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkSetup } from '../../src/setup/check/check-setup.js';
import { convertObjects } from '../../src/setup/objects/convert-objects.js';

const objectsOf = (deployment: string): string => readFileSync(`examples/${deployment}/objects.yaml`, 'utf8');

test('the example objects convert to the example setups', () => {
  for (const deployment of ['archive', 'cuenca']) {
    const setup: unknown = JSON.parse(readFileSync(`examples/${deployment}/setup.json`, 'utf8'));
    assert.equal(convertObjects(objectsOf(deployment)).unsafeCoerce(), checkSetup(setup).unsafeCoerce());
  }
});

test('a document may be JSON', () => {
  const document = JSON.stringify({
    apiVersion: 'ledgehill/v1',
    kind: 'Tier',
    metadata: { name: 'extra' },
    spec: { weight: 1, share: 0.1 },
  });
  const setup = convertObjects(`${objectsOf('cuenca')}---\n${document}\n`).unsafeCoerce();
  assert.is(setup.tiers[setup.tiers.length - 1]?.name, 'extra');
});

test('every fault is reported with document and path, and nothing is converted', () => {
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
    [`${text}---\n${text.split('---\n')[0]}`, '(Fleet', 'duplicate Fleet: the first is document 1 (Fleet'],
    [text.split('---\n').slice(1).join('---\n'), 'documents', 'kind Fleet'],
    [`${text}---\nspec: [1\n`, 'document 11', 'Flow sequence'],
  ];
  for (const [invalidText, path, message] of cases) {
    assert.is.not(invalidText, text, `the text of the case ${path} differs from the original`);
    const faults = convertObjects(invalidText).swap().unsafeCoerce();
    const report = faults.map((fault) => `${fault.path} ${fault.message}`).join('\n');
    assert.ok(report.includes(path) && report.includes(message), `${path} ${message}: ${report}`);
  }
});

test.run();
