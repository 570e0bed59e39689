import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkControlSettings, checkRouterSettings } from '../../src/process/settings/check-settings.js';
import { deployments } from '../../src/rehearsal/deployment/deployments.js';
import { checkSetup } from '../../src/setup/check/check-setup.js';

const readJson = (path: string): unknown => {
  const value: unknown = JSON.parse(readFileSync(path, 'utf8'));
  return value;
};

test('the example setup and settings of both deployments are valid and have the specified sizes', () => {
  const sizes = { archive: [6, 100], cuenca: [9, 90] } as const;
  for (const name of ['archive', 'cuenca'] as const) {
    const deployment = deployments[name];
    const setup = checkSetup(readJson(deployment.setupPath)).unsafeCoerce();
    assert.equal([deployment.routers, deployment.exchangesPerSecond], sizes[name]);
    assert.equal([deployment.models, deployment.webs, setup.fleet?.routers], [13, 3, deployment.routers]);
    assert.equal(deployment.kinds.map((kind) => kind.kind).sort(), setup.rules.map((rule) => rule.kind).sort());
    for (const kind of deployment.kinds)
      assert.is(setup.rules.find((rule) => rule.kind === kind.kind)?.repeatable, !kind.runsOnce);
    const files = readdirSync(`examples/${name}/settings`);
    assert.is(files.length, 3 + deployment.routers);
    for (const file of files) {
      const settings = readJson(`examples/${name}/settings/${file}`);
      const checkedSettings = file.startsWith('control')
        ? checkControlSettings(settings)
        : checkRouterSettings(settings);
      assert.ok(checkedSettings.isRight(), `${file}: ${JSON.stringify(checkedSettings.swap().extract())}`);
    }
  }
});

test('every fault of a setup is listed with its path', () => {
  const example = readJson(deployments.archive.setupPath);
  const invalid: unknown = JSON.parse(
    JSON.stringify(example)
      .replace('"vnodes":16', '"vnodes":0')
      .replace('"fraction":0.2', '"fraction":0.5')
      .replace('"type":"web"', '"type":"ftp"')
      .replace('"name":"rhodope-archive"', '"name":"rhodope-archive","extra":1'),
  );
  const faults = checkSetup(invalid).swap().unsafeCoerce();
  assert.equal(faults.map((fault) => fault.path).sort(), ['', 'retry.fraction', 'services[1].type', 'warmup.vnodes']);
  const inconsistent: unknown = JSON.parse(
    JSON.stringify(example)
      .replace('"tier":"questions"', '"tier":"none"')
      .replace('"service":"thumbnails"', '"service":"none"'),
  );
  assert.equal(
    checkSetup(inconsistent)
      .swap()
      .unsafeCoerce()
      .map((fault) => fault.path),
    ['rules[0].tier', 'rules[3].service'],
  );
});

test('the error for invalid settings lists every invalid, missing or unknown key', () => {
  const error = checkControlSettings({
    node: 'c 1',
    http: '1.2.3.4',
    partners: '10.0.0.1:1',
    seeds: ['10.0.0.1:1', '10.0.0.1:1'],
    locality: 'a',
    ringFiles: 1,
    ringFileBytes: 8 << 20,
    more: 1,
  })
    .swap()
    .unsafeCoerce();
  assert.equal(error.faults?.map((fault) => fault.path).sort(), [
    '',
    'data',
    'http',
    'node',
    'ringFileBytes',
    'ringFiles',
    'seeds',
  ]);
});

test('seeds must be one to three distinct addresses', () => {
  const isValidWith = (seeds: readonly string[]): boolean =>
    checkRouterSettings({ node: 'r1', http: '10.0.0.9:1', partners: '10.0.0.9:2', seeds, locality: 'a' }).isRight();
  assert.ok(
    isValidWith(['10.0.0.1:1']) &&
      isValidWith(['10.0.0.1:1', '10.0.0.2:1']) &&
      isValidWith(['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1']),
  );
  assert.not.ok(
    isValidWith([]) ||
      isValidWith(['10.0.0.1:1', '10.0.0.1:1']) ||
      isValidWith(['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1']),
  );
});

test.run();
