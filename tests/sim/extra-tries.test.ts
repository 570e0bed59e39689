import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkExtraTries } from '../../src/rehearsal/checker/check-runs.js';
import { readyFleet, second } from './small-fleet.js';

test('extra tries stay within their limit over all nodes while every server turns work away, and after traffic has ended', async () => {
  for (const seed of [1, 2]) {
    const fleet = await readyFleet(seed, 4, 6);
    const callOn = (count: number): void => {
      for (let place = 0; place < count; place += 1)
        fleet.world.after(place * 10_000, () =>
          fleet.call({ work: `w${fleet.world.now()}`, opening: `o${place % 30}` }, place % 4),
        );
    };
    callOn(600);
    await fleet.play(6 * second);
    for (const server of fleet.models) server.become('erring');
    callOn(300);
    await fleet.play(5 * second);
    for (const server of fleet.models) server.become('well');
    await fleet.play(6 * second);
    const extras = fleet.history.tries.length - new Set(fleet.history.tries.map((made) => made.call)).size;
    assert.ok(extras > 30, `seed ${seed}: work is tried again at all (${extras})`);
    assert.equal(checkExtraTries(fleet.history), [], `seed ${seed}`);
  }
});

test.run();
