import { randomItem } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';
import { isVoter } from '../../control/machine/log-queries.js';
import type { CoreFleet } from './core-fleet.js';
import type { SimControl } from './sim-control.js';

const second: Micros = 1_000_000;

/** What a loss of a machine needs to know and to tell. */
export type LossSite = {
  readonly fleet: CoreFleet;
  readonly tell: (fault: string) => void;
  /** Machines that were replaced and are down, with the disks they had. */
  readonly retired: SimControl[];
};

/** One loss of a machine and its repair; resolves once the machine that makes up for it has been started. */
export type Loss = { readonly name: string; readonly bring: (site: LossSite, machine: SimControl) => Promise<void> };

const downTimeUs = ({ world }: CoreFleet): Micros => 200_000 + world.chance() * 2 * second;

const seedCount = 3;

/** Whoever is started or restarted is told the addresses of machines that are there, as after a change of the settings. */
const startWithSeeds = ({ fleet }: LossSite, machine: SimControl): void => {
  const present = fleet.machines.filter((known) => known.isUp()).map((known) => known.address());
  machine.changeSeeds(present.slice(0, seedCount));
  machine.start();
};

const newMachine = (site: LossSite): SimControl => {
  const { fleet, tell } = site;
  const machine = fleet.addMachine(`core-x${fleet.machines.length + 1}:1`);
  tell(`start ${machine.name} with an empty disk at ${machine.address()}`);
  startWithSeeds(site, machine);
  return machine;
};

const restarted: Loss = {
  name: 'kill and restart',
  bring: async ({ fleet }, machine) => {
    machine.kill();
    await fleet.playFor(downTimeUs(fleet));
    machine.start();
  },
};

const wiped: Loss = {
  name: 'wipe the disk at the same address',
  bring: async (site, machine) => {
    machine.loseDisk();
    await site.fleet.playFor(downTimeUs(site.fleet));
    startWithSeeds(site, machine);
  },
};

const replacedUnplanned: Loss = {
  name: 'kill and replace',
  bring: async (site, machine) => {
    machine.kill();
    site.retired.push(machine);
    await site.fleet.playFor(downTimeUs(site.fleet));
    newMachine(site);
  },
};

/** How long the new machine of a planned replacement is given before the old one ends. */
const plannedOverlapUs: Micros = 4 * second;

const replacedPlanned: Loss = {
  name: 'replace in order',
  bring: async (site, machine) => {
    newMachine(site);
    await site.fleet.playFor(plannedOverlapUs);
    site.retired.push(machine);
    machine.terminate(() => undefined);
  },
};

const losses: readonly Loss[] = [restarted, wiped, replacedUnplanned, replacedPlanned];

export const drawLoss = (fleet: CoreFleet): Loss => randomItem(fleet.world.chance, losses) ?? restarted;

/** A machine that votes now, the leader as often as not. */
export const drawVoter = (fleet: CoreFleet): SimControl | undefined => {
  const leader = fleet.leader();
  if (leader === undefined) return undefined;
  const voters = fleet.machines.filter(
    (machine) => machine.isUp() && isVoter(leader.replica(), machine.replica().identity),
  );
  return fleet.world.chance() < 0.4 ? leader : randomItem(fleet.world.chance, voters);
};

/** How long a replaced machine that came back stays, where it goes again. */
const returnedUs: Micros = 4 * second;

/** Lets a replaced machine come back with its old disk; as often as not it goes again, which is a loss like others. */
export const returnRetired = async ({ fleet, tell, retired }: LossSite): Promise<void> => {
  const machine = randomItem(
    fleet.world.chance,
    retired.filter((known) => !known.isUp()),
  );
  if (machine === undefined) return;
  tell(`${machine.name} comes back with its old disk`);
  machine.start();
  if (fleet.world.chance() < 0.5) return;
  await fleet.playFor(returnedUs);
  tell(`${machine.name} goes again`);
  machine.kill();
};
