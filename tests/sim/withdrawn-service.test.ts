import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import { readyFleet, second } from './small-fleet.js';

test('a service that a setup no longer allows gets no work once that is in force, tries already under way included', async () => {
  const fleet = await readyFleet(1, 3, 3);
  const setup = sampleSetup('without', 3);
  const callOn = (from: number, count: number): void => {
    for (let place = 0; place < count; place += 1)
      fleet.world.after(place * 20_000, () =>
        fleet.call({ work: `w${from + place}`, kind: 'check', pieces: 0 }, place % 3),
      );
  };
  callOn(0, 50);
  await fleet.play(2 * second);
  assert.ok(fleet.history.runs.filter((run) => run.ownService === 'status').length >= 50, 'it was served before');
  for (const server of fleet.servers()) if (server.listed.service === 'status') server.become('erring');
  callOn(50, 100);
  await fleet.play(second);
  void fleet.put({
    ...setup,
    services: setup.services.filter(({ name }) => name !== 'status'),
    rules: setup.rules.filter(({ service }) => service !== 'status'),
  });
  await fleet.play(second);
  const toldUs = fleet.history.puts[fleet.history.puts.length - 1]?.toldUs ?? 0;
  assert.ok(toldUs > 0);
  for (const server of fleet.servers()) server.become('well');
  callOn(150, 200);
  await fleet.play(8 * second);
  const late = fleet.history.runs.filter((run) => run.ownService === 'status' && run.atUs > toldUs + 2 * second);
  assert.equal(late, []);
  const refused = fleet.history.calls.filter((call) => call.error === 'unknown-kind');
  assert.ok(refused.length > 50, `${refused.length} were refused as of no known kind`);
  assert.is(fleet.history.calls.length, 350, 'every call ends');
});

test.run();
