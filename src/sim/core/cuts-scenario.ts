import { randomItem } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { noRedelivery } from '../world/network.js';
import { openConfigurationClient, countAnswers, type ConfigurationClient } from './configuration-client.js';
import { startBurst, startLoad } from './configuration-load.js';
import { applyCut, describeCut, drawCut, isFullCut, type CoreCut } from './core-cuts.js';
import { openCoreFleet, type AskedCore } from './core-fleet.js';
import { checkEqualStates, checkHistory, untilCommitted } from './final-checks.js';

const second: Micros = 1_000_000;
const cutUs: Micros = 20 * second;
const betweenCutsUs: Micros = 8 * second;
const cutCount = 2;
/** Restarts end so long before the cut does, so that who leads at its end is settled. */
const settledUs: Micros = 5 * second;
/** One second, and what the network's delays and a heartbeat add. */
const caughtUpUs: Micros = 1_200_000;
const unseatedUs: Micros = 3 * second;
const burstUs: Micros = 1.6 * second;
/** The cut falls within so long after the burst has begun. */
const burstOrderUs: Micros = 300_000;
const committedBoundUs: Micros = 6 * second;
const most = { orderUs: 4_500_000, readUs: 2_500_000 };

/** What operators were told by a machine that had no exchange with any other since before they asked. */
const checkSilence = (fleet: AskedCore, client: ConfigurationClient, cut: CoreCut, fromUs: Micros): void => {
  for (const { machine, operation } of client.sent()) {
    const isWithin = operation.calledUs >= fromUs && operation.answeredUs <= fleet.world.now();
    if (machine !== cut.machine || !isWithin) continue;
    if (operation.type === 'read')
      fleet.rules.breakRule(
        `silent-when-cut-off: ${machine.name} answered a read with version ${operation.value.version}`,
      );
    else if (operation.answer !== 'unknown')
      fleet.rules.breakRule(`silent-when-cut-off: ${machine.name} answered an order with ${operation.answer}`);
  }
};

const checkProgress = (fleet: AskedCore, client: ConfigurationClient, cut: CoreCut, fromUs: Micros): void => {
  const hasCommitted = client
    .sent()
    .some(
      ({ machine, operation }) =>
        machine !== cut.machine &&
        operation.type === 'order' &&
        operation.answer === 'committed' &&
        operation.calledUs > fromUs,
    );
  if (!hasCommitted)
    fleet.rules.breakRule('majority-works: no order was committed by the other machines in a cut of 20 s');
};

/** A machine on either side is restarted in the cut, now and then with its seeds in another order. */
const restartInCut = (fleet: AskedCore, cut: CoreCut, tell: (fault: string) => void): void => {
  const { world } = fleet;
  const machine = world.chance() < 0.5 ? cut.machine : randomItem(world.chance, fleet.machines);
  if (machine === undefined) return;
  world.after(world.chance() * (cutUs - settledUs - 3 * second), () => {
    tell(`restart ${machine.name}`);
    machine.kill();
    if (world.chance() < 0.5) machine.changeSeeds([...fleet.machines.map((known) => known.address())].reverse());
    world.after(200_000 + world.chance() * 2 * second, machine.start);
  });
};

const playCut = async (fleet: AskedCore, client: ConfigurationClient, tell: (fault: string) => void): Promise<void> => {
  const { world, network, rules } = fleet;
  const cut = drawCut(fleet);
  if (cut === undefined) {
    rules.breakRule('no leader before a cut');
    return;
  }
  tell(describeCut(fleet, cut));
  startBurst(fleet, client, burstUs);
  await fleet.playFor(world.chance() * burstOrderUs);
  applyCut(fleet, cut);
  const startedUs = world.now();
  if (world.chance() < 0.6) restartInCut(fleet, cut, tell);
  await fleet.playFor(cutUs - 2 * second);
  const settledLeader = fleet.leader();
  const settledTerm = settledLeader?.replica().term;
  await fleet.playFor(2 * second);
  if (isFullCut(fleet, cut)) checkSilence(fleet, client, cut, startedUs);
  checkProgress(fleet, client, cut, startedUs);
  const leader = fleet.leader();
  const hasWorked = leader === settledLeader && leader?.replica().term === settledTerm && leader !== cut.machine;
  const healedCommit = leader?.replica().commit ?? 0;
  startBurst(fleet, client, burstUs);
  network.heal();
  tell('heal');
  await fleet.playFor(caughtUpUs);
  const reached = cut.machine.replica().commit;
  if (reached < healedCommit)
    rules.breakRule(`caught-up: ${cut.machine.name} is at ${reached} of ${healedCommit} a second after the cut's end`);
  await fleet.playFor(unseatedUs - caughtUpUs);
  if (hasWorked && (fleet.leader() !== leader || fleet.leader()?.replica().term !== settledTerm))
    rules.breakRule(`working-leader-stays: ${leader?.name} of term ${settledTerm} lost its place when a cut ended`);
};

const play = async (seed: number): Promise<SimRun> => {
  const fleet = openCoreFleet(seed, undefined, { refounds: false });
  const { world, network, rules } = fleet;
  const faults: string[] = [];
  const tell = (fault: string): void => void faults.push(`${Math.round(world.now() / 1000)} ms: ${fault}`);
  const client = openConfigurationClient(fleet);
  await fleet.playFor(4 * second);
  if (world.chance() < 0.5) {
    network.redeliver({ lateShare: 0, twiceShare: 0.02, mostDelayUs: 4 * second });
    tell('messages are delivered twice');
  }
  startLoad(fleet, client, {
    untilUs: world.now() + cutCount * (cutUs + betweenCutsUs),
    orderEveryUs: 700_000,
    readEveryUs: 200_000,
    rivalShare: 0.3,
  });
  for (let cut = 0; cut < cutCount; cut += 1) {
    await fleet.playFor(world.chance() * 2 * second);
    await playCut(fleet, client, tell);
    await fleet.playFor(2 * second);
  }
  network.redeliver(noRedelivery);
  if ((await untilCommitted(fleet, client, 'last', committedBoundUs)) === undefined)
    rules.breakRule('order-committed: no order was committed after the last cut');
  await fleet.playFor(12 * second);
  checkHistory(fleet, client, most);
  checkEqualStates(fleet);
  return { broken: rules.broken(), counts: countAnswers(client), faults };
};

/** Cuts of 20 s of each kind, with orders and reads on both sides. */
export const cutsScenario: SimScenario = {
  name: 'core-cuts',
  about:
    'a core machine is cut off for twenty seconds, both ways, one way or from one other; orders and reads on both sides',
  play,
};
