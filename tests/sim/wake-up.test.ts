import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkLeaving } from '../../src/rehearsal/checker/check-runs.js';
import { readyFleet, second } from './small-fleet.js';

/** Calls are on their way to servers when the router freezes; all servers leave meanwhile, and it wakes with old news only. */
const wakeUp = async (seed: number) => {
  const fleet = await readyFleet(seed, 1, 3);
  const [router] = fleet.routers;
  for (let place = 0; place < 8; place += 1) {
    fleet.world.after(place * 400, () => fleet.call({ work: `w${place}` }));
    fleet.world.after(place * 400, () => fleet.call({ work: `k${place}`, kind: 'summary', key: `k${place}` }));
  }
  await fleet.play(3_000);
  for (const machine of fleet.core.machines) {
    fleet.network.cut(machine.address(), router?.address ?? '');
    fleet.network.cut(router?.address ?? '', machine.address());
  }
  fleet.network.cut('platform', router?.address ?? '');
  router?.node.freeze();
  for (const server of fleet.models) fleet.leave(server);
  await fleet.play(5 * second);
  router?.node.wake();
  await fleet.play(100_000);
  fleet.network.heal();
  await fleet.play(10 * second);
  return fleet.history;
};

test('a node that wakes sends nothing to servers that left while it was frozen, whatever comes first', async () => {
  let refused = 0;
  for (let seed = 1; seed <= 12; seed += 1) {
    const history = await wakeUp(seed);
    assert.equal(checkLeaving(history), [], `seed ${seed}`);
    assert.is(history.calls.length, 16, `seed ${seed}: every call ends`);
    refused += history.calls.filter((call) => call.end === 'refused').length;
  }
  assert.ok(refused > 12, `calls were under way when the node froze (${refused})`);
});

test('after every process has restarted at once nobody gives a leaving server a new grace', async () => {
  const fleet = await readyFleet(5, 3, 4);
  const [leaver] = fleet.models;
  if (leaver !== undefined) fleet.leave(leaver);
  await fleet.play(2.5 * second);
  for (const router of fleet.routers) router.kill();
  for (const machine of fleet.core.machines) machine.kill();
  await fleet.play(200_000);
  for (const machine of fleet.core.machines) machine.start();
  for (const router of fleet.routers) router.start();
  for (let step = 0; step < 300; step += 1) {
    await fleet.play(20_000);
    for (const place of [0, 1, 2]) fleet.call({ work: `w${step}.${place}` }, place);
  }
  await fleet.play(2 * second);
  assert.ok(fleet.history.calls.filter((call) => call.end === 'complete').length > 300, 'the fleet serves again');
  assert.equal(checkLeaving(fleet.history), []);
});

test.run();
