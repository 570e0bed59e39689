import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openCoreFleet } from '../../src/sim/core/core-fleet.js';

const second = 1_000_000;

const termAfter = async (
  syncUs: number,
  seed: number,
): Promise<{ readonly before: number; readonly after: number; readonly won: number }> => {
  const fleet = openCoreFleet(seed);
  await fleet.playFor(4 * second);
  const before = fleet.leader()?.replica().term ?? 0;
  let won = 0;
  fleet.leader()?.slowDisk(syncUs);
  for (let place = 0; place < 20; place += 1)
    fleet.world.after(
      place * 300_000,
      () =>
        void fleet.client
          .ask(
            { type: 'propose', command: { type: 'claim', key: `k${place}`, exchange: `e${place}`, atUs: 0 } },
            4 * second,
          )
          .then((asked) =>
            asked.ifRight((word) => {
              if (word.type === 'applied') won += 1;
            }),
          ),
    );
  await fleet.playFor(12 * second);
  return { before, after: fleet.leader()?.replica().term ?? 0, won };
};

test('a leader whose disk is slow keeps its place, one whose disk stalls loses it, and claims go on', async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const slow = await termAfter(700_000, seed);
    assert.is(slow.after, slow.before, `seed ${seed}: a slow disk`);
    assert.is(slow.won, 20, `seed ${seed}: a slow disk`);
    const stalled = await termAfter(60 * second, seed);
    assert.ok(stalled.after > stalled.before, `seed ${seed}: a stalled disk`);
    assert.is(stalled.won, 20, `seed ${seed}: a stalled disk`);
  }
});

test.run();
