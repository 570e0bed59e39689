import type { Micros } from '../../common/micros.js';
import type { Answer } from '../../control/machine/answer.js';
import type { ControlEffect } from '../../control/machine/control-effect.js';
import { openNetwork, type Network } from '../world/network.js';
import { openWorld, type World } from '../world/world.js';
import { openCoreMachine, type CoreMachine } from './core-machine.js';

/** Three core machines in a virtual world, and what they were heard to do. */
export type CoreFleet = {
  readonly world: World;
  readonly network: Network;
  readonly machines: readonly CoreMachine[];
  readonly leader: () => CoreMachine | undefined;
  readonly onEffect: (hear: (machine: CoreMachine, effect: ControlEffect) => void) => void;
  readonly onUnkept: (hear: (what: string) => void) => void;
  readonly ask: (
    machine: CoreMachine,
    make: (ask: string) => Parameters<CoreMachine['post']>[0],
    hear: (answer: Answer) => void,
  ) => void;
  readonly playFor: (span: Micros) => void;
};

export const openCoreFleet = (seed: number): CoreFleet => {
  const world = openWorld(seed);
  return openCoreIn(world, openNetwork(world));
};

/** A core in a world that holds more than the core. */
export const openCoreIn = (world: World, network: Network): CoreFleet => {
  const seeds = ['core-a:1', 'core-b:1', 'core-c:1'];
  const listeners: ((machine: CoreMachine, effect: ControlEffect) => void)[] = [];
  const unkeptListeners: ((what: string) => void)[] = [];
  const asks = new Map<string, (answer: Answer) => void>();
  let askCount = 0;
  const machines: readonly CoreMachine[] = seeds.map((address, index) =>
    openCoreMachine(`c${index + 1}`, address, {
      world,
      network,
      seeds,
      machineAt: (target) => machines.find((machine) => machine.address() === target && machine.isUp()),
      hearUnkept: (_machine, what) => {
        for (const listener of unkeptListeners) listener(what);
      },
      hear: (machine, effect) => {
        if (effect.type === 'answer') {
          const hear = asks.get(effect.ask);
          asks.delete(effect.ask);
          hear?.(effect.answer);
        }
        for (const listener of listeners) listener(machine, effect);
      },
    }),
  );
  machines.forEach((machine) => world.after(world.chance() * 300_000, machine.start));
  return {
    world,
    network,
    machines,
    leader: () =>
      [...machines].filter((machine) => machine.isUp() && machine.view().role === 'leader').sort((left, right) => right.view().term - left.view().term)[0],
    onEffect: (hear) => void listeners.push(hear),
    onUnkept: (hear) => void unkeptListeners.push(hear),
    ask: (machine, make, hear) => {
      askCount += 1;
      const ask = `ask-${askCount}`;
      asks.set(ask, hear);
      machine.post(make(ask));
    },
    playFor: (span) => world.playUntil(world.now() + span),
  };
};
