import { randomItem } from '../../common/random.js';
import { encodeDurableRecords } from '../../control/wire/durable-record-codec.js';
import { snapshotRecordsOf } from '../../control/persistence/recovery.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { openCoreFleet } from './core-fleet.js';

const second = 1_000_000;
const minutes = 17;
/** The run-once exchanges of the larger deployment, a quarter of 90 a second, and crowds of three times as many. */
const usualPerSecond = 22.5;
const crowdFactor = 3;
const ringFileBytes = 32 << 20;

const play = async (seed: number): Promise<SimRun> => {
  const fleet = openCoreFleet(seed, ringFileBytes);
  const { world, rules, client } = fleet;
  const counts: Record<string, number> = { claims: 0, won: 0, full: 0, unheard: 0 };
  const faults: string[] = [];
  const endUs = minutes * 60 * second;
  const add = (name: string): void => void (counts[name] = (counts[name] ?? 0) + 1);

  const claim = (): void => {
    if (world.now() >= endUs) return;
    add('claims');
    const key = `label-copy-rewrite/${seed}-${counts['claims']}-${Math.floor(world.chance() * 1e12)}`;
    void client
      .ask(
        {
          type: 'propose',
          command: { type: 'claim', key, exchange: `router-1-${key.length}.c${counts['claims']}`, atUs: world.now() },
        },
        5 * second,
      )
      .then((asked) =>
        asked
          .ifLeft(() => add('unheard'))
          .ifRight((word) => {
            if (word.type !== 'applied' || word.outcome.type === 'claims-full') {
              add('full');
              if (counts['full'] === 1)
                rules.breakRule('almost-no-refusals: a key was refused since the table is full');
            } else add('won');
          }),
      );
    world.after(-Math.log(1 - world.chance()) * (second / (usualPerSecond * crowdFactor)), claim);
  };
  const restartOne = (): void => {
    if (world.now() >= endUs) return;
    const machine = randomItem(world.chance, fleet.machines);
    faults.push(`${Math.round(world.now() / second)} s: kill ${machine?.name}`);
    machine?.kill();
    world.after(second, () => machine?.start());
    world.after(120 * second, restartOne);
  };
  world.after(3 * second, claim);
  world.after(60 * second, restartOne);
  await world.playUntil(endUs + 10 * second);
  const leader = fleet.leader();
  if (leader !== undefined) {
    counts['claimsHeld'] = leader.replica().state.claimCount;
    counts['imageBytes'] = encodeDurableRecords(snapshotRecordsOf(leader.replica())).length;
  }
  if ((counts['unheard'] ?? 0) > (counts['claims'] ?? 0) / 1000)
    rules.breakRule(`almost-no-refusals: ${counts['unheard']} claims were not decided in time`);
  return { broken: rules.broken(), counts, faults };
};

/** The table of claims at its fullest: crowds of three times the rate, all of it keyed, for longer than claims are kept. */
export const claimsScenario: SimScenario = {
  name: 'claims',
  about:
    'seventeen minutes of keyed exchanges at three times the full rate, while core machines are killed: no table is ever full',
  play,
};
