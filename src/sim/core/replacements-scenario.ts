import type { Micros } from '../../common/micros.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { countAnswers, openConfigurationClient, type ConfigurationClient } from './configuration-client.js';
import { startLoad } from './configuration-load.js';
import { openCoreFleet } from './core-fleet.js';
import { checkHistory, checkVoters, untilCommitted } from './final-checks.js';
import { killLeaderInChange } from './loss-in-change.js';
import { drawLoss, drawVoter, returnRetired, type LossSite } from './replacements.js';

const second: Micros = 1_000_000;
const lossCount = 7;
/** A machine that is back still counts as lost for so long, by the platforms that are known. */
const leastSyncUs: Micros = 4 * second;
const mostSyncUs: Micros = 6 * second;
const committedBoundUs: Micros = 6 * second;
const votersBoundUs: Micros = 15 * second;
const most = { orderUs: 4_500_000, readUs: 2_500_000 };

/** The leader is lost while the members change; where those that remain are enough, they go on without it. */
const playLossInChange = async ({ fleet, tell }: LossSite, client: ConfigurationClient): Promise<void> => {
  const lost = await killLeaderInChange(fleet);
  if (lost === undefined) return;
  tell(
    `kill the leader ${lost.machine.name} in a change of members; ${lost.mustWork ? 'enough remain' : 'too few remain'}`,
  );
  const committedUs = lost.mustWork
    ? await untilCommitted(fleet, client, `without ${lost.machine.name}`, committedBoundUs)
    : 0;
  if (committedUs === undefined)
    fleet.rules.breakRule('survives-losses: no order within 6 s after the leader was lost in a change of members');
  tell(`${lost.machine.name} is back`);
  lost.machine.start();
};

const play = async (seed: number): Promise<SimRun> => {
  const size = seed % 3 === 0 ? 5 : 3;
  const fleet = openCoreFleet(seed, undefined, { machines: size, voters: size, refounds: false });
  const { world, network, rules } = fleet;
  const faults: string[] = [];
  const tell = (fault: string): void => void faults.push(`${Math.round(world.now() / 1000)} ms: ${fault}`);
  const site: LossSite = { fleet, tell, retired: [] };
  const client = openConfigurationClient(fleet);
  const counts: Record<string, number> = { losses: 0 };
  let isLoaded = true;
  if (world.chance() < 0.5) {
    tell('messages are late and doubled');
    network.redeliver({ lateShare: 0.05, twiceShare: 0.02, mostDelayUs: 300_000 });
  }

  await fleet.playFor(8 * second);
  startLoad(fleet, client, {
    untilUs: world.now() + 120 * second,
    orderEveryUs: 900_000,
    readEveryUs: 400_000,
    rivalShare: 0.2,
    machines: () => (isLoaded ? fleet.machines.filter((machine) => machine.isUp()) : []),
  });
  /** The time after which the next loss must be borne; drawn for the whole run. */
  const syncUs = leastSyncUs + world.chance() * (mostSyncUs - leastSyncUs);
  tell(`${size} machines, the next loss ${Math.round(syncUs / 1000)} ms after each repair`);
  for (let number = 1; number <= lossCount; number += 1) {
    const machine = drawVoter(fleet);
    if (machine === undefined) {
      rules.breakRule(`survives-losses: no leader before loss ${number}`);
      break;
    }
    const loss = drawLoss(fleet);
    const role = machine === fleet.leader() ? 'leader' : 'follower';
    tell(`${loss.name}: ${role} ${machine.name}`);
    counts['losses'] = (counts['losses'] ?? 0) + 1;
    await loss.bring(site, machine);
    if (world.chance() < 0.5) await playLossInChange(site, client);
    await fleet.playFor(syncUs);
    if (world.chance() < 0.4) {
      await returnRetired(site);
      await fleet.playFor(syncUs);
    }
    if (
      number % 3 === 0 &&
      (await untilCommitted(fleet, client, `after loss ${number}`, committedBoundUs)) === undefined
    ) {
      rules.breakRule(`survives-losses: no order was committed within 6 s after loss ${number}`);
      break;
    }
  }
  if ((await untilCommitted(fleet, client, 'last', committedBoundUs)) === undefined)
    rules.breakRule('survives-losses: no order was committed within 6 s after the last loss');
  isLoaded = false;
  await fleet.playFor(votersBoundUs);
  checkVoters(fleet, size, 'fifteen seconds after the last loss');
  checkHistory(fleet, client, most);
  return { broken: rules.broken(), counts: { ...counts, ...countAnswers(client) }, faults };
};

/** One loss and repair after another. */
export const replacementsScenario: SimScenario = {
  name: 'core-replacements',
  about:
    'cores of three and five lose, wipe and replace one machine after another; replaced ones come back with old disks',
  play,
};
