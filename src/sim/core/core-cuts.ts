import { randomItem } from '../../common/random.js';
import type { CoreFleet } from './core-fleet.js';
import type { SimControl } from './sim-control.js';

/** A cut between a machine and others of the core. */
export type CoreCut = {
  readonly machine: SimControl;
  readonly others: readonly SimControl[];
  /** Whether nothing reaches the machine. */
  readonly inward: boolean;
  /** Whether nothing leaves the machine. */
  readonly outward: boolean;
};

const directions = [
  { name: 'both ways', inward: true, outward: true },
  { name: 'nothing comes in', inward: true, outward: false },
  { name: 'nothing goes out', inward: false, outward: true },
] as const;

/** Whether the machine has lost an exchange with every other machine, so that it can know nothing. */
export const isFullCut = (fleet: CoreFleet, { machine, others }: CoreCut): boolean =>
  fleet.machines.every((other) => other === machine || others.includes(other));

/** Draws the machine, leader or another, and the kind of the cut. */
export const drawCut = (fleet: CoreFleet): CoreCut | undefined => {
  const { chance } = fleet.world;
  const leader = fleet.leader();
  const machine =
    chance() < 0.5
      ? leader
      : randomItem(
          chance,
          fleet.machines.filter((known) => known !== leader),
        );
  const direction = randomItem(chance, directions);
  if (machine === undefined || direction === undefined) return undefined;
  const allOthers = fleet.machines.filter((other) => other !== machine);
  const single = randomItem(chance, allOthers);
  const others = chance() < 0.3 && single !== undefined ? [single] : allOthers;
  return { machine, others, inward: direction.inward, outward: direction.outward };
};

export const applyCut = (fleet: CoreFleet, { machine, others, inward, outward }: CoreCut): void => {
  for (const other of others) {
    if (outward) fleet.network.cut(machine.address(), other.address());
    if (inward) fleet.network.cut(other.address(), machine.address());
  }
};

export const describeCut = (fleet: CoreFleet, cut: CoreCut): string => {
  const role = cut.machine === fleet.leader() ? 'the leader' : 'a follower';
  const direction = directions.find(({ inward, outward }) => inward === cut.inward && outward === cut.outward);
  return `cut ${role} ${cut.machine.name} from ${cut.others.map(({ name }) => name).join(', ')}: ${direction?.name}`;
};
