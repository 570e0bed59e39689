import { randomItem, randomBelow } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { openConfigurationClient, countAnswers } from './configuration-client.js';
import { orderUntilClear, readVersion } from './configuration-load.js';
import { openCoreFleet, type AskedCore } from './core-fleet.js';
import { checkEqualStates, checkHistory, checkVoters, untilCommitted } from './final-checks.js';
import { usualDiskUs, type SimControl } from './sim-control.js';

const second: Micros = 1_000_000;
const orderCount = 1_000;
/** A machine is down for these orders. */
const absence = { from: 550, to: 950 } as const;
const size = 3;
const ringFileBytes = 32 << 20;
const largeShare = 0.01;
const faultEveryUs: Micros = 6 * second;
const catchUpUs: Micros = 6 * second;
const committedBoundUs: Micros = 6 * second;
const most = { orderUs: 4_500_000, readUs: 2_500_000 };

type Tell = (fault: string) => void;

const drawPaddingChars = ({ world }: AskedCore): number =>
  world.chance() < largeShare ? 200_000 + randomBelow(world.chance, 800_000) : 1_000 + randomBelow(world.chance, 4_000);

const restart = ({ world }: AskedCore, machine: SimControl, tell: Tell): void => {
  tell(`restart ${machine.name}`);
  machine.kill();
  world.after(100_000 + world.chance() * 2 * second, machine.start);
};

const slow = ({ world }: AskedCore, machine: SimControl, syncUs: Micros, tell: Tell): void => {
  tell(`the disk of ${machine.name} takes ${syncUs} us for a sync`);
  machine.slowDisk(syncUs);
  world.after(2 * second, () => machine.slowDisk(usualDiskUs));
};

const fill = ({ world }: AskedCore, machine: SimControl, tell: Tell): void => {
  tell(`the disk of ${machine.name} is full`);
  machine.fillDisk(true);
  world.after(1.5 * second, () => machine.fillDisk(false));
};

/** One machine at a time is in trouble; none while another one is down for long. */
const bringFaults = (fleet: AskedCore, isAllowed: () => boolean, isOver: () => boolean, tell: Tell): void => {
  const { world } = fleet;
  const next = (): void => {
    if (isOver()) return;
    const machine = randomItem(world.chance, fleet.machines);
    const draw = world.chance();
    if (machine !== undefined && isAllowed()) {
      if (draw < 0.4) restart(fleet, machine, tell);
      else if (draw < 0.6) slow(fleet, machine, 60_000, tell);
      else if (draw < 0.8) slow(fleet, machine, 2 * second, tell);
      else fill(fleet, machine, tell);
    }
    world.after(faultEveryUs * (0.5 + world.chance()), next);
  };
  world.after(faultEveryUs, next);
};

const play = async (seed: number): Promise<SimRun> => {
  const fleet = openCoreFleet(seed, ringFileBytes, { refounds: false });
  const { world, rules } = fleet;
  const faults: string[] = [];
  const tell: Tell = (fault) => void faults.push(`${Math.round(world.now() / 1000)} ms: ${fault}`);
  const client = openConfigurationClient(fleet);
  await fleet.playFor(4 * second);
  const absent = randomItem(world.chance, fleet.machines);
  if (absent === undefined) return { broken: ['no machines'], counts: {}, faults };
  let ordered = 0;
  let isDone = false;
  const isAbsent = (): boolean => ordered >= absence.from && ordered < absence.to;
  bringFaults(
    fleet,
    () => !isAbsent(),
    () => isDone,
    tell,
  );

  const orderAll = async (): Promise<void> => {
    let base = 0;
    for (let version = 1; version <= orderCount; version += 1) {
      ordered = version;
      if (version === absence.from) {
        tell(`${absent.name} goes down for ${absence.to - absence.from} orders`);
        absent.kill();
      }
      if (version === absence.to) {
        tell(`${absent.name} comes back`);
        absent.start();
      }
      const order = { version, base, title: `document ${version}`, paddingChars: drawPaddingChars(fleet) };
      const answer = await orderUntilClear(fleet, client, order);
      base = answer === 'committed' ? version : await readVersion(fleet, client);
      if (version % 20 === 0) void client.read(absent);
    }
    isDone = true;
  };
  void orderAll();
  const endUs = world.now() + 400 * second;
  while (!isDone && world.now() < endUs) await fleet.playFor(second);
  if (!isDone) rules.breakRule(`thousand-orders: only ${ordered} orders were answered in 400 s`);
  await fleet.playFor(catchUpUs);
  checkEqualStates(fleet);
  const emptied = randomItem(world.chance, fleet.machines);
  tell(`wipe ${emptied?.name}`);
  emptied?.loseDisk();
  await fleet.playFor(second);
  emptied?.start();
  await fleet.playFor(catchUpUs);
  checkVoters(fleet, size, 'after the long history');
  checkEqualStates(fleet);
  if ((await untilCommitted(fleet, client, 'last', committedBoundUs)) === undefined)
    rules.breakRule('order-committed: no order was committed after the long history');
  checkHistory(fleet, client, most);
  return { broken: rules.broken(), counts: countAnswers(client), faults };
};

/** A thousand changes of the configuration. */
export const historiesScenario: SimScenario = {
  name: 'core-histories',
  about: 'a thousand orders, some of a megabyte, through restarts and bad disks; late and empty machines catch up',
  play,
};
