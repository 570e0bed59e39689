import { randomItem, randomBelow } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';
import type { ConfigurationClient, DocumentOrder, ToldAnswer } from './configuration-client.js';
import type { CoreFleet } from './core-fleet.js';
import type { SimControl } from './sim-control.js';

/** How often operators read and order, and until when. */
export type LoadPlan = {
  readonly untilUs: Micros;
  readonly orderEveryUs: Micros;
  readonly readEveryUs: Micros;
  /** The share of orders that another operator races under the same number. */
  readonly rivalShare: number;
  /** How many characters a document has; drawn for each. */
  readonly paddingChars?: () => number;
  /** The machines that operators know; all of them where none are named. */
  readonly machines?: () => readonly SimControl[];
};

const mostRepeats = 6;
const repeatPauseUs: Micros = 150_000;

/** Sends an order, and the same again to other machines while nothing clear is answered; gives the last answer. */
export const orderUntilClear = async (
  fleet: CoreFleet,
  client: ConfigurationClient,
  order: DocumentOrder,
  machines: readonly SimControl[] = fleet.machines,
): Promise<ToldAnswer> => {
  let answer: ToldAnswer = 'refused';
  for (let attempt = 0; attempt < mostRepeats; attempt += 1) {
    const machine = randomItem(fleet.world.chance, machines);
    if (machine === undefined) return answer;
    answer = await client.order(machine, order);
    if (answer === 'committed' || answer === 'conflict') return answer;
    await new Promise<void>((resolve) => fleet.world.after(repeatPauseUs, resolve));
  }
  return answer;
};

/** Reads at one machine after another until one gives the version in force. */
export const readVersion = async (fleet: CoreFleet, client: ConfigurationClient): Promise<number> => {
  for (;;) {
    const machine = randomItem(fleet.world.chance, fleet.machines);
    const value = machine === undefined ? undefined : await client.read(machine);
    if (value !== undefined) return value.version;
    await new Promise<void>((resolve) => fleet.world.after(repeatPauseUs, resolve));
  }
};

/** Keeps operators busy: each reads somewhere, orders on top of what it read, and repeats what was not answered clearly. */
export const startLoad = (fleet: CoreFleet, client: ConfigurationClient, plan: LoadPlan): void => {
  const { world } = fleet;
  const machinesNow = (): readonly SimControl[] => plan.machines?.() ?? fleet.machines;
  let orders = 0;

  const repeatedly = (everyUs: Micros, act: (machine: SimControl) => void): void => {
    if (world.now() >= plan.untilUs) return;
    const machine = randomItem(world.chance, machinesNow());
    if (machine !== undefined) act(machine);
    world.after(everyUs * 2 * world.chance(), () => repeatedly(everyUs, act));
  };

  const orderOn = (base: number): void => {
    orders += 1;
    void orderUntilClear(
      fleet,
      client,
      {
        base,
        version: base + 1 + randomBelow(world.chance, 2),
        title: `document ${orders}`,
        paddingChars: plan.paddingChars?.() ?? 0,
      },
      machinesNow(),
    );
  };

  repeatedly(plan.readEveryUs, (machine) => void client.read(machine));
  repeatedly(plan.orderEveryUs, (machine) => {
    void client.read(machine).then((value) => {
      if (value === undefined) return;
      orderOn(value.version);
      if (world.chance() < plan.rivalShare) orderOn(value.version);
    });
  });
};

const burstReadEveryUs: Micros = 50_000;
const burstOrderEveryUs: Micros = 250_000;

/** For a while, reads and orders go to every machine, so that each has some under way when something happens to it. */
export const startBurst = (fleet: CoreFleet, client: ConfigurationClient, spanUs: Micros): void => {
  const { world } = fleet;
  const untilUs = world.now() + spanUs;
  const atEachMachine = (everyUs: Micros, act: (machine: SimControl) => void): void => {
    if (world.now() >= untilUs) return;
    fleet.machines.forEach(act);
    world.after(everyUs, () => atEachMachine(everyUs, act));
  };
  atEachMachine(burstReadEveryUs, (machine) => void client.read(machine));
  atEachMachine(burstOrderEveryUs, (machine) => {
    const base = client.newestVersion();
    void client.order(machine, { base, version: base + 1, title: `burst ${world.now()} ${machine.name}` });
  });
};
