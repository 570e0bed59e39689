import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkReceipts, checkResumes } from '../../src/rehearsal/checker/check-receipts.js';
import { checkRunOnce } from '../../src/rehearsal/checker/check-runs.js';
import { readyFleet, second, type SmallFleet } from './small-fleet.js';

const serverOf = (fleet: SmallFleet, work: string) => {
  const run = fleet.history.runs.find((known) => known.work === work);
  return fleet.models.find((server) => server.listed.id === run?.server);
};

/** A router that has just started may make no extra tries beyond a part of its first ones. */
const untilExtraTries = 2 * second;

const midStream = async (seed: number, kind: string): Promise<SmallFleet> => {
  const fleet = await readyFleet(seed, 1, 3);
  await fleet.play(untilExtraTries);
  fleet.call({ work: 'w', kind, key: kind === 'summary' ? 'w' : undefined, pieces: 60 });
  await fleet.play(second);
  return fleet;
};

test('a stream whose server falls silent but answers probes is carried over where that is allowed', async () => {
  const fleet = await midStream(1, 'draft');
  serverOf(fleet, 'w')?.become('stuck');
  await fleet.play(8 * second);
  const [call] = fleet.history.calls;
  assert.is(call?.end, 'complete');
  const froms = fleet.history.runs.map((run) => run.fromPiece);
  assert.is(froms.length, 2);
  assert.ok((froms[1] ?? 0) > 5, 'it goes on where it stopped');
  assert.equal(checkReceipts(fleet.history), []);
});

test('where it is not allowed the stream breaks visibly, soon, and nothing runs twice', async () => {
  const fleet = await midStream(2, 'summary');
  const stuckUs = fleet.world.now();
  serverOf(fleet, 'w')?.become('stuck');
  await fleet.play(8 * second);
  const [call] = fleet.history.calls;
  assert.is(call?.end, 'cut');
  assert.ok((call?.endUs ?? 0) - stuckUs < 3.2 * second, 'within the rule of its kind');
  assert.equal(
    [
      ...checkRunOnce(fleet.history, new Set(['summary'])),
      ...checkResumes(fleet.history, new Set(['question', 'draft'])),
    ],
    [],
  );
  assert.is(fleet.history.runs.length, 1);
});

test('time in which the node itself was frozen is not silence of the server', async () => {
  for (let seed = 3; seed <= 8; seed += 1) {
    const fleet = await midStream(seed, 'summary');
    fleet.routers[0]?.node.freeze();
    await fleet.play(5 * second);
    fleet.routers[0]?.node.wake();
    await fleet.play(5 * second);
    assert.is(fleet.history.calls[0]?.end, 'complete', `seed ${seed}`);
  }
});

test.run();
