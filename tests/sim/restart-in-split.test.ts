import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { simOperatorService } from '../../src/sim/core/sim-operator-service.js';
import { openSimFleet, type SimFleet } from '../../src/sim/fleet/sim-fleet.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const second = 1_000_000;

const take = (fleet: SimFleet, name: string, expected: number): void =>
  void simOperatorService(fleet.core).put(sampleSetup(name, 4), name, expected);

const revisionOf = (fleet: SimFleet, place: number): number | undefined =>
  fleet.routers[place]?.tasks()?.spread.view().record?.revision;

test('a router that restarts among partners with an older setup is not ready before the core has spoken', async () => {
  const fleet = openSimFleet(11, 4);
  const play = (span: number): Promise<void> => fleet.world.playUntil(fleet.world.now() + span);
  fleet.openServer('model');
  fleet.showServers();
  for (const router of fleet.routers) router.start();
  fleet.platform.start();
  fleet.world.after(2 * second, () => take(fleet, 'one', 0));
  await play(5 * second);
  assert.equal(
    [0, 1, 2, 3].map((place) => revisionOf(fleet, place)),
    [1, 1, 1, 1],
  );

  const addressOf = (place: number): string => fleet.routers[place]?.address ?? '';
  const core = fleet.core.machines.map((machine) => machine.address());
  const cut = (left: readonly string[], right: readonly string[]): void => {
    for (const from of left)
      for (const to of right) {
        fleet.network.cut(from, to);
        fleet.network.cut(to, from);
      }
  };
  cut([addressOf(2), addressOf(3)], [addressOf(0), addressOf(1), ...core]);
  take(fleet, 'two', 1);
  await play(2 * second);
  assert.equal(
    [0, 1, 2, 3].map((place) => revisionOf(fleet, place)),
    [2, 2, 1, 1],
  );

  const [restarted] = fleet.routers;
  fleet.network.heal();
  cut([addressOf(0)], [addressOf(1), ...core]);
  cut([addressOf(2), addressOf(3)], [addressOf(1), ...core]);
  restarted?.kill();
  restarted?.start();
  await play(3 * second);
  assert.is(revisionOf(fleet, 0), 1, 'it has heard the older setup');
  assert.is(restarted?.isReady(), false);
  fleet.network.heal();
  await play(2 * second);
  assert.is(revisionOf(fleet, 0), 2);
  assert.is(restarted?.isReady(), true);
});

test.run();
