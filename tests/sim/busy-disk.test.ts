import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { askCore } from '../../src/sim/core/core-client.js';
import { openCoreFleet, type CoreFleet } from '../../src/sim/core/core-fleet.js';

const second = 1_000_000;

const termAfter = (syncUs: number, seed: number): { readonly before: number; readonly after: number; readonly won: number } => {
  const fleet: CoreFleet = openCoreFleet(seed);
  fleet.playFor(4 * second);
  const before = fleet.leader()?.view().term ?? 0;
  let won = 0;
  fleet.leader()?.slowDisk(syncUs);
  for (let place = 0; place < 20; place += 1)
    fleet.world.after(place * 300_000, () =>
      askCore(fleet, { type: 'propose', command: { type: 'claim', key: `k${place}`, exchange: `e${place}`, atUs: 0 } }, 4 * second, (word) => {
        if (word?.type === 'applied') won += 1;
      }),
    );
  fleet.playFor(12 * second);
  return { before, after: fleet.leader()?.view().term ?? 0, won };
};

test('a leader whose disk is slow keeps its place, one whose disk stalls loses it, and claims go on', () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const slow = termAfter(700_000, seed);
    assert.is(slow.after, slow.before, `seed ${seed}: a slow disk`);
    assert.is(slow.won, 20, `seed ${seed}: a slow disk`);
    const stalled = termAfter(60 * second, seed);
    assert.ok(stalled.after > stalled.before, `seed ${seed}: a stalled disk`);
    assert.is(stalled.won, 20, `seed ${seed}: a stalled disk`);
  }
});

test.run();
