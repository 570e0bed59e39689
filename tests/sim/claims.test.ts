import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRefusals, checkRunOnce } from '../../src/rehearsal/checker/check-runs.js';
import { readyFleet, second, type SmallFleet } from './small-fleet.js';

const ask = (fleet: SmallFleet, call: string, place = 0): void =>
  fleet.call({ work: 'w', call, kind: 'summary', key: 'w', pieces: 30 }, place);

const endsOf = (fleet: SmallFleet): readonly string[] =>
  fleet.history.calls.map((call) => `${call.call} ${call.end}`).sort();

const runningAt = (fleet: SmallFleet) =>
  fleet.models.find((server) => server.listed.id === fleet.history.runs[0]?.server);

test('the key of work whose outcome is unknown stays claimed: a repeat at another node does not run', async () => {
  const fleet = await readyFleet(1, 2, 3);
  ask(fleet, 'first');
  for (let step = 0; step < 400 && fleet.history.runs.length === 0; step += 1) await fleet.play(1_000);
  runningAt(fleet)?.crash();
  await fleet.play(2 * second);
  assert.equal(endsOf(fleet), ['first unknown']);
  ask(fleet, 'again', 1);
  await fleet.play(3 * second);
  assert.equal(endsOf(fleet), ['again repeated', 'first unknown']);
  assert.is(fleet.history.runs.length, 1);
});

test('the key of work that broke off stays claimed, too', async () => {
  const fleet = await readyFleet(2, 2, 3);
  ask(fleet, 'first');
  await fleet.play(second);
  runningAt(fleet)?.crash();
  await fleet.play(2 * second);
  ask(fleet, 'again', 1);
  await fleet.play(3 * second);
  assert.equal(endsOf(fleet), ['again repeated', 'first cut']);
  assert.equal(checkRunOnce(fleet.history, new Set(['summary'])), []);
});

test('the key of a refused call is free again, and the call itself never runs', async () => {
  const fleet = await readyFleet(3, 2, 3);
  for (const server of fleet.models) server.crash();
  await fleet.play(3 * second);
  ask(fleet, 'first');
  await fleet.play(3 * second);
  assert.equal(endsOf(fleet), ['first refused']);
  for (const server of fleet.models) fleet.openServer('model', server.listed.id);
  fleet.showServers();
  await fleet.play(15 * second);
  ask(fleet, 'again', 1);
  await fleet.play(5 * second);
  assert.equal(endsOf(fleet), ['again complete', 'first refused']);
  assert.equal(checkRefusals(fleet.history), []);
});

test.run();
