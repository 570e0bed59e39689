import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openNetwork } from '../../src/sim/world/network.js';
import { openWorld } from '../../src/sim/world/world.js';

const second = 1_000_000;
const messageCount = 1_000;

const arrivalsAt = async (lateShare: number, twiceShare: number): Promise<readonly number[]> => {
  const world = openWorld(5);
  const network = openNetwork(world);
  network.redeliver({ lateShare, twiceShare, mostDelayUs: 3 * second });
  const arrivals: number[] = [];
  for (let message = 0; message < messageCount; message += 1)
    network.sendFrame('a', 'b', () => arrivals.push(world.now()));
  await world.playUntil(4 * second);
  return arrivals;
};

const lateOf = (arrivals: readonly number[]): number => arrivals.filter((moment) => moment > second / 10).length;

test('without redelivery every message arrives once and soon', async () => {
  const arrivals = await arrivalsAt(0, 0);
  assert.is(arrivals.length, messageCount);
  assert.is(lateOf(arrivals), 0);
});

test('a share of the messages arrives late, up to the longest delay', async () => {
  const arrivals = await arrivalsAt(0.2, 0);
  assert.is(arrivals.length, messageCount);
  assert.ok(lateOf(arrivals) > 130 && lateOf(arrivals) < 270, `${lateOf(arrivals)} late`);
  assert.ok(Math.max(...arrivals) <= 3 * second);
});

test('a share of the messages arrives twice', async () => {
  const count = (await arrivalsAt(0, 0.2)).length - messageCount;
  assert.ok(count > 130 && count < 270, `${count} twice`);
});

test.run();
