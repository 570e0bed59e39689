import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkControlSettings, checkRouterSettings } from '../../src/process/settings/check-settings.js';
import { deployments } from '../../src/rehearsal/deployment/deployments.js';
import { checkSetup } from '../../src/setup/check/check-setup.js';

const readJson = (path: string): unknown => {
  const parsed: unknown = JSON.parse(readFileSync(path, 'utf8'));
  return parsed;
};

test('both deployments ship a setup and settings that hold, at the sizes of the brief', () => {
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
      const held = file.startsWith('control') ? checkControlSettings(settings) : checkRouterSettings(settings);
      assert.ok(held.isRight(), `${file}: ${JSON.stringify(held.swap().extract())}`);
    }
  }
});

test('every fault of a setup is listed by its path', () => {
  const example = readJson(deployments.archive.setupPath);
  const broken: unknown = JSON.parse(
    JSON.stringify(example)
      .replace('"vnodes":16', '"vnodes":0')
      .replace('"fraction":0.2', '"fraction":0.5')
      .replace('"type":"web"', '"type":"ftp"')
      .replace('"name":"rhodope-archive"', '"name":"rhodope-archive","extra":1'),
  );
  const faults = checkSetup(broken).swap().unsafeCoerce();
  assert.equal(faults.map((fault) => fault.path).sort(), ['', 'retry.fraction', 'services[1].type', 'warmup.vnodes']);
  const crossed: unknown = JSON.parse(
    JSON.stringify(example)
      .replace('"tier":"questions"', '"tier":"none"')
      .replace('"service":"thumbnails"', '"service":"none"'),
  );
  assert.equal(
    checkSetup(crossed)
      .swap()
      .unsafeCoerce()
      .map((fault) => fault.path),
    ['rules[0].tier', 'rules[3].service'],
  );
});

test('bad settings name every key', () => {
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

test('seeds are one to three addresses that differ', () => {
  const heldWith = (seeds: readonly string[]): boolean =>
    checkRouterSettings({ node: 'r1', http: '10.0.0.9:1', partners: '10.0.0.9:2', seeds, locality: 'a' }).isRight();
  assert.ok(
    heldWith(['10.0.0.1:1']) &&
      heldWith(['10.0.0.1:1', '10.0.0.2:1']) &&
      heldWith(['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1']),
  );
  assert.not.ok(
    heldWith([]) ||
      heldWith(['10.0.0.1:1', '10.0.0.1:1']) ||
      heldWith(['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1']),
  );
});

test.run();
