import { randomItem, randomBelow } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { noRedelivery } from '../world/network.js';
import {
  countAnswers,
  openConfigurationClient,
  type ConfigurationClient,
  type DocumentOrder,
} from './configuration-client.js';
import { orderUntilClear, readVersion } from './configuration-load.js';
import { openCoreFleet, type AskedCore } from './core-fleet.js';
import { checkEqualStates, checkHistory, untilCommitted } from './final-checks.js';

const second: Micros = 1_000_000;
const rounds = 90;
/** Then hundreds of changes go by before the old orders are sent again. */
const changesBetween = 600;
const mostAtOnce = 8;
const committedBoundUs: Micros = 6 * second;
const patienceUs: Micros = 1_500_000;
const most = { orderUs: 4_500_000, readUs: 2_500_000 };

const restartAll = ({ world, machines }: AskedCore): void => {
  for (const machine of machines) {
    machine.kill();
    world.after(100_000 + world.chance() * second, machine.start);
  }
};

/** Up to eight orders at once on one base: some the very same text through other machines, some rivals. */
const orderAtOnce = async (
  fleet: AskedCore,
  client: ConfigurationClient,
  base: number,
  round: number,
): Promise<readonly DocumentOrder[]> => {
  const { chance } = fleet.world;
  const orders = Array.from({ length: 1 + randomBelow(chance, mostAtOnce) }, () => ({
    base,
    version: base + 1,
    title: `round ${round} operator ${randomBelow(chance, 3)}`,
  }));
  await Promise.all(orders.map((order) => orderUntilClear(fleet, client, order)));
  return orders;
};

const play = async (seed: number): Promise<SimRun> => {
  const fleet = openCoreFleet(seed, undefined, { refounds: false });
  const { world, network, rules } = fleet;
  const faults: string[] = [];
  const tell = (fault: string): void => void faults.push(`${Math.round(world.now() / 1000)} ms: ${fault}`);
  let lossShare = 0.3;
  const client = openConfigurationClient(fleet, { patienceUs, isAnswerLost: () => world.chance() < lossShare });
  const oldOrders: DocumentOrder[] = [];
  let isDone = false;

  const newestVersion = (): Promise<number> => readVersion(fleet, client);
  const disturb = (): void => {
    const draw = world.chance();
    if (draw < 0.06) {
      tell('power lost at all machines');
      restartAll(fleet);
    } else if (draw < 0.12) {
      tell('the leader is killed');
      const leader = fleet.leader();
      leader?.kill();
      world.after(500_000, () => leader?.start());
    }
  };
  const repeatOld = async (count: number): Promise<void> => {
    for (let repeat = 0; repeat < count; repeat += 1) {
      const old = randomItem(world.chance, oldOrders);
      if (old !== undefined) await orderUntilClear(fleet, client, old);
    }
  };
  const operate = async (): Promise<void> => {
    for (let round = 1; round <= rounds; round += 1) {
      oldOrders.push(...(await orderAtOnce(fleet, client, await newestVersion(), round)));
      disturb();
      await repeatOld(1);
    }
    lossShare = 0;
    tell(`${changesBetween} changes go by`);
    const base = await newestVersion();
    for (let version = base + 1; version <= base + changesBetween; version += 1)
      await orderUntilClear(fleet, client, { version, base: version - 1, title: `passing ${version}` });
    tell('restart all machines');
    restartAll(fleet);
    await repeatOld(60);
    isDone = true;
  };

  await fleet.playFor(4 * second);
  if (world.chance() < 0.5) {
    network.redeliver({ lateShare: 0.01, twiceShare: 0.02, mostDelayUs: 3 * second });
    tell('messages are delivered late and twice');
  }
  void operate();
  const endUs = world.now() + 600 * second;
  while (!isDone && world.now() < endUs) await fleet.playFor(second);
  if (!isDone) rules.breakRule('repeats-answered: operators had no clear answers in 600 s');
  network.redeliver(noRedelivery);
  if ((await untilCommitted(fleet, client, 'last', committedBoundUs)) === undefined)
    rules.breakRule('order-committed: no order was committed at the end');
  await fleet.playFor(5 * second);
  checkHistory(fleet, client, most);
  checkEqualStates(fleet);
  return { broken: rules.broken(), counts: countAnswers(client), faults };
};

/** Lost acknowledgements and repeated orders. */
export const repeatsScenario: SimScenario = {
  name: 'core-repeats',
  about:
    'acknowledgements are lost, orders repeated to other machines at once, after hundreds of changes and restarts of all',
  play,
};
