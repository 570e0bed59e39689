import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { validate } from '../../src/common/validate.js';
import { policyWithout, defaultPolicy } from '../../src/decision/policy.js';
import { experimentSchema, type Experiment } from '../../src/experiment/deployment.js';
import { playExperiment } from '../../src/experiment/play-experiment.js';
import { playSeeds, spreadOf } from '../../src/experiment/play-seeds.js';

const read = (name: string): Experiment =>
  validate(experimentSchema, JSON.parse(readFileSync(`examples/experiments/${name}.json`, 'utf8'))).unsafeCoerce();

/** A few routers and seconds of a deployment that is shipped. */
const short = (more: Partial<Experiment> = {}): Experiment => ({
  ...read('archive'),
  seconds: 4,
  faults: [],
  ...more,
});

test('the experiments that are shipped hold, and faults in one are named by path', () => {
  assert.is(read('dispatch').routers, 68);
  const faults = validate(experimentSchema, { ...read('archive'), routers: 0, seconds: 'long' })
    .swap()
    .unsafeCoerce();
  assert.equal(faults.map(({ path }) => path).sort(), ['routers', 'seconds']);
});

test('a seed plays the same every time, another one differently', async () => {
  const first = await playExperiment(short(), 1, defaultPolicy);
  assert.equal(await playExperiment(short(), 1, defaultPolicy), first);
  assert.not.equal(await playExperiment(short(), 2, defaultPolicy), first);
});

test('a calm deployment earns nearly all of its worth, and every request has an end', async () => {
  const { worth, requests, failed } = await playExperiment(short(), 3, defaultPolicy);
  assert.ok(worth > 0.95, `${worth}`);
  assert.ok(requests > 250 && failed < requests / 50, `${failed} of ${requests}`);
});

test('servers that break everything cost less where failures are told', async () => {
  const broken = short({
    seconds: 6,
    faults: [{ kind: 'reset', service: 'readers', atS: 1, forS: 5, share: 0.2, strength: 1 }],
  });
  const failedOf = async (policy: typeof defaultPolicy): Promise<number> =>
    spreadOf((await playSeeds(broken, [1, 2, 3], policy)).map(({ failed }) => failed)).mean;
  const told = await failedOf(defaultPolicy);
  const untold = await failedOf(policyWithout('failures'));
  assert.ok(told * 1.5 < untold, `${told} and ${untold}`);
});

test.run();
