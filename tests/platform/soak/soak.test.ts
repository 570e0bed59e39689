import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { playSoak } from './play-soak.js';

/** The short form of the soak: one seed, two rounds. */
const seed = 3;
const rounds = 2;

test('real processes keep the rules under overlapping troubles', async () => {
  const { faults, requests, troubles, logs } = await playSoak({ seed, rounds, tell: () => undefined });
  assert.equal(faults, [], `${troubles.join(', ')}\n${logs}`);
  assert.ok(requests > 200, `${requests} requests`);
});

test.run();
