import type { Micros } from '../../common/micros.js';
import { openCoreClient, type CoreClient } from '../../process/core-client.js';
import { openCounters } from '../../process/counters.js';
import type { Log } from '../../process/log.js';
import { openGossipTask } from '../../process/gossip-task.js';
import { openSimNode } from '../process/sim-node.js';
import { simSurroundingsOf, type SimCommons } from '../process/sim-surroundings.js';
import { openNetwork } from '../world/network.js';
import { openWorld } from '../world/world.js';
import { openCoreRules, type CoreRules } from './core-rules.js';
import { openSimControl, type SimControl } from './sim-control.js';

/** How large a core is, and what its machines are told. */
export type CoreShape = {
  readonly machines?: number;
  readonly voters?: number;
  readonly refounds?: boolean;
  readonly laterSeeds?: readonly string[];
};

/** The core machines in a virtual world, and what is watched of them. */
export type CoreFleet = SimCommons & {
  readonly machines: readonly SimControl[];
  readonly rules: CoreRules;
  /** Adds a machine with an empty disk that may not found a core; it is not started. */
  readonly addMachine: (address: string) => SimControl;
  readonly leader: () => SimControl | undefined;
  readonly playFor: (span: Micros) => Promise<void>;
};

/** A core alone in its world, and a process that asks it. */
export type AskedCore = CoreFleet & { readonly client: CoreClient };

export const localities = ['a', 'b', 'c'] as const;
const seedCount = 3;
const comparisonIntervalUs: Micros = 50_000;
const quietLog: Log = { change: () => undefined };

export const openCoreFleet = (seed: number, ringFileBytes?: number, shape: CoreShape = {}): AskedCore => {
  const world = openWorld(seed);
  const commons: SimCommons = {
    world,
    network: openNetwork(world),
    ports: new Map(),
    serverAt: () => undefined,
    note: () => undefined,
  };
  const fleet = openCoreIn(commons, ringFileBytes, shape);
  const surroundings = simSurroundingsOf(commons, 'client', 'client:1', openSimNode(world).begin());
  const spread = openGossipTask(
    { node: 'client', role: 'router', address: 'client:1', http: 'client:1/http', locality: 'a' },
    fleet.machines.map((machine) => machine.address()),
    quietLog,
    openCounters(),
    surroundings,
  );
  void spread.start();
  return { ...fleet, client: openCoreClient(spread, surroundings) };
};

/** A core in a world that holds more than the core. */
export const openCoreIn = (
  commons: SimCommons,
  ringFileBytes?: number,
  { machines: size = seedCount, voters, refounds, laterSeeds }: CoreShape = {},
): CoreFleet => {
  const { world } = commons;
  const rules = openCoreRules(world);
  const bornAddresses = ['core-a:1', 'core-b:1', 'core-c:1', 'core-d:1', 'core-e:1'].slice(0, size);
  const seeds = (): readonly string[] =>
    (machines.length === 0 ? bornAddresses : machines.map((machine) => machine.address())).slice(0, seedCount);
  const machines: SimControl[] = [];
  const addMachine = (bornAddress: string, isReplacement: boolean): SimControl => {
    const place = machines.length;
    const machine = openSimControl({
      name: `c${place + 1}`,
      locality: localities[place % localities.length] ?? 'a',
      bornAddress,
      seeds,
      commons,
      ringFileBytes,
      voters,
      refounds,
      laterSeeds,
      isReplacement,
      logOf: (control) => rules.logOf(() => control.replica().identity),
      hearUnkept: (what) => rules.breakRule(`kept-before-said: ${what}`),
      hearBrokenInvariant: (what) => rules.breakRule(`broken-invariant: ${what}`),
    });
    machines.push(machine);
    return machine;
  };
  for (const bornAddress of bornAddresses) addMachine(bornAddress, false);
  machines.forEach((machine) => world.after(world.chance() * 300_000, machine.start));
  const compareStates = (): void => {
    rules.compareStates(machines.filter((machine) => machine.isUp()).map((machine) => machine.replica()));
    world.after(comparisonIntervalUs, compareStates);
  };
  world.after(comparisonIntervalUs, compareStates);
  return {
    ...commons,
    machines,
    rules,
    addMachine: (address) => addMachine(address, true),
    leader: () =>
      machines
        .filter((machine) => machine.isUp() && machine.replica().role === 'leader')
        .sort((left, right) => right.replica().term - left.replica().term)[0],
    playFor: (span) => world.playUntil(world.now() + Math.round(span)),
  };
};
