import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { callEvery, untilNextMultiple } from '../../src/common/clock/every.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import { openSimFleet } from '../../src/sim/fleet/sim-fleet.js';
import { openWorld } from '../../src/sim/world/world.js';

/** What the periodic work of an idle node may wake it, a second: far less than its partners' frames do. */
const mostTimerWakeUps = 15;

test('two periodic tasks of one process wake it at the same moments', async () => {
  const world = openWorld(3);
  const life = openSimNode(world).begin();
  const moments: number[][] = [[], []];
  callEvery(life.clock, 100_000, () => void moments[0]?.push(world.now()));
  await world.playUntil(33_000);
  callEvery(life.clock, 100_000, () => void moments[1]?.push(world.now()));
  await world.playUntil(1_000_000);
  const [first = [], second = []] = moments;
  assert.ok(second.length >= 9);
  assert.equal(first.slice(-second.length), second);
});

test('a timer that fired just before its moment does not fire again at once', () => {
  assert.is(untilNextMultiple(1_000_000, 100_000), 100_000);
  assert.is(untilNextMultiple(999_600, 100_000), 100_400);
  assert.is(untilNextMultiple(1_000_400, 100_000), 99_600);
});

test('an idle router is woken by its own timers only a few times a second', async () => {
  const fleet = openSimFleet(5, 3);
  for (const machine of fleet.core.machines) machine.start();
  for (const router of fleet.routers) router.start();
  await fleet.world.playUntil(4_000_000);
  const before = fleet.routers.map(({ node }) => node.timerWakeUps());
  await fleet.world.playUntil(9_000_000);
  fleet.routers.forEach(({ node, name }, place) => {
    const perSecond = (node.timerWakeUps() - (before[place] ?? 0)) / 5;
    assert.ok(perSecond <= mostTimerWakeUps, `${name} is woken ${perSecond} times a second`);
  });
});

test.run();
