import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { platformUsOf } from '../../src/decision/machine/view/decision-view.js';
import { readyFleet, second, type SmallFleet } from './small-fleet.js';

const leadsOf = (fleet: SmallFleet): readonly number[] =>
  fleet.routers.flatMap((router) => {
    const tasks = router.tasks();
    return tasks === undefined
      ? []
      : [tasks.spread.platformUs() - fleet.platform.now(), platformUsOf(tasks.router.view()) - fleet.platform.now()];
  });

const ringOf = (fleet: SmallFleet, place: number): number =>
  fleet.routers[place]?.tasks()?.router.view().topology.services.get('model')?.ring.size ?? 0;

/** Plays a join while clocks go wrong; no node may think that the platform is further than it is, none may be late by much. */
const joinWhile = async (seed: number, spoil: (fleet: SmallFleet) => void): Promise<void> => {
  const fleet = await readyFleet(seed, 4, 4);
  await fleet.play(15 * second);
  spoil(fleet);
  await fleet.play(60 * second);
  fleet.openServer('model');
  fleet.showServers();
  const entryUs = fleet.world.now() + 10 * second;
  for (let step = 0; step < 200; step += 1) {
    await fleet.play(100_000);
    assert.ok(Math.max(...leadsOf(fleet)) <= 0, `at ${fleet.world.now()}: ${Math.max(...leadsOf(fleet))} us ahead`);
    const sizes = fleet.routers.map((_, place) => ringOf(fleet, place));
    if (fleet.world.now() < entryUs) assert.equal(sizes, [4, 4, 4, 4], 'nobody enters it early');
    if (fleet.world.now() > entryUs + 100_000) assert.equal(sizes, [5, 5, 5, 5], 'everybody has entered it');
  }
};

test('a steady clock that runs fast by some hundred parts in a million pulls nobody ahead', () =>
  joinWhile(1, (fleet) => {
    fleet.routers[1]?.node.drift(400);
    fleet.routers[2]?.node.drift(-400);
  }));

test('a clock that jumps in one machine pulls nobody ahead, and comes right again', () =>
  joinWhile(2, (fleet) => {
    fleet.routers[0]?.node.jump(30 * second);
    fleet.world.after(20 * second, () => fleet.routers[0]?.node.jump(3_600 * second));
    fleet.core.machines[0]?.node.jump(600 * second);
  }));

test('a clock that jumps while a server leaves gives it no work for longer', async () => {
  const fleet = await readyFleet(3, 3, 4);
  const [leaver] = fleet.models;
  if (leaver !== undefined) fleet.leave(leaver);
  fleet.world.after(500_000, () => fleet.routers[0]?.node.jump(20 * second));
  await fleet.play(3 * second);
  const key = `${leaver?.listed.id}/`;
  for (const router of fleet.routers)
    assert.not.ok(
      [...(router.tasks()?.router.view().topology.services.get('model')?.allowed ?? [])].some((allowed) =>
        allowed.startsWith(key),
      ),
    );
});

test.run();
