import { setupDigestOf } from '../../src/setup/document/setup-digest.js';
import { simOperatorService } from '../../src/sim/core/sim-operator-service.js';
import { openSimFleet, type SimFleet } from '../../src/sim/fleet/sim-fleet.js';
import type { SimServer } from '../../src/sim/fleet/sim-server.js';
import { openCaller, type CallerWish } from '../../src/sim/fleet/sim-callers.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { Setup } from '../../src/setup/document/setup.js';

export const second = 1_000_000;

export type SmallFleet = SimFleet & {
  readonly models: readonly SimServer[];
  readonly play: (span: number) => Promise<void>;
  readonly call: (wish: Partial<CallerWish> & { readonly work: string }, place?: number) => void;
  readonly put: (setup: Setup) => Promise<number | undefined>;
};

/** A fleet in virtual time that is ready: its first setup is in force and its model servers have entered. */
export const readyFleet = async (
  seed: number,
  routers: number,
  models: number,
  setup: Setup = sampleSetup('first', routers),
): Promise<SmallFleet> => {
  const fleet = openSimFleet(seed, routers);
  const opened = Array.from({ length: models }, () => fleet.openServer('model'));
  fleet.openServer('status');
  fleet.showServers();
  for (const router of fleet.routers) router.start();
  fleet.platform.start();
  const play = (span: number): Promise<void> => fleet.world.playUntil(fleet.world.now() + span);
  let revision = 0;
  const desk = simOperatorService(fleet.core);
  const put = async (wanted: Setup): Promise<number | undefined> => {
    const askedUs = fleet.world.now();
    const word = await desk.put(wanted, `put-${wanted.name}`, revision);
    if (word.type !== 'decided' || word.outcome.type !== 'committed') return undefined;
    revision = word.outcome.revision;
    fleet.history.puts.push({
      proposal: `put-${wanted.name}`,
      expected: revision - 1,
      name: wanted.name,
      digest: setupDigestOf(wanted),
      isFaulty: false,
      askedUs,
      toldUs: fleet.world.now(),
      outcome: 'taken',
      revision,
    });
    return revision;
  };
  await play(3 * second);
  void put(setup);
  await play(3 * second);
  return {
    ...fleet,
    models: opened,
    play,
    put,
    call: (wish, place = 0) => {
      const router = fleet.routers[place];
      if (router !== undefined)
        openCaller(
          fleet,
          { call: wish.work, kind: 'question', key: undefined, opening: wish.work, pieces: 4, ...wish },
          router,
        );
    },
  };
};
