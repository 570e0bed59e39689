import type { Micros } from '../../common/micros.js';
import { recoveredRecord, recoveredView } from '../../control/keeping/recover.js';
import type { KeptRecord } from '../../control/log/kept-record.js';
import type { ControlEffect } from '../../control/machine/control-effect.js';
import type { ControlEvent } from '../../control/machine/control-event.js';
import { startControlView, type ControlView } from '../../control/machine/control-view.js';
import { lastIndexOf, lastTermOf, membersOf } from '../../control/machine/log-reading.js';
import type { ControlMessage } from '../../control/machine/message.js';
import { pulseOf } from '../../control/machine/replicating.js';
import { stepControl } from '../../control/machine/step.js';
import { busyDiskUs, heartbeatSpanUs } from '../../control/machine/timing.js';
import type { Network } from '../world/network.js';
import type { World } from '../world/world.js';

/** A core machine in the virtual world, with a disk that loses what was not synced. */
export type CoreMachine = {
  readonly name: string;
  readonly address: () => string;
  readonly view: () => ControlView;
  readonly isUp: () => boolean;
  readonly receive: (from: string, fromAddress: string, message: ControlMessage, to?: string) => void;
  readonly post: (event: ControlEvent) => void;
  readonly kill: () => void;
  readonly start: () => void;
  readonly loseDisk: (newAddress?: string) => void;
  readonly freeze: () => void;
  readonly wake: () => void;
  readonly slowDisk: (syncUs: Micros) => void;
  /** Lets the rest of the same process live and die with the machine. */
  readonly follow: (process: MachineProcess) => void;
};

/** The rest of a core machine's process. */
export type MachineProcess = {
  readonly begin: () => void;
  readonly kill: () => void;
  readonly freeze: () => void;
  readonly wake: () => void;
};

export type CoreSurroundings = {
  readonly world: World;
  readonly network: Network;
  readonly seeds: readonly string[];
  readonly machineAt: (address: string) => CoreMachine | undefined;
  readonly hear: (machine: CoreMachine, effect: ControlEffect) => void;
  /** Hears of a machine whose disk would give back something else than it says. */
  readonly hearUnkept: (machine: CoreMachine, what: string) => void;
};

const tickUs: Micros = 25_000;
const usualSyncUs: Micros = 2_000;

/** A machine of the core: the real state machine on virtual time, network and disk. */
export const openCoreMachine = (name: string, bornAddress: string, surroundings: CoreSurroundings): CoreMachine => {
  const { world, network, seeds, machineAt, hear, hearUnkept } = surroundings;
  let address = bornAddress;
  let disks = 0;
  let life = 0;
  let isUp = false;
  let isFrozen = false;
  let isSyncing = false;
  let syncStartedUs: Micros = 0;
  let pulsedUs: Micros = 0;
  let syncUs = usualSyncUs;
  let disk: KeptRecord[] = [];
  let waiting: ControlEvent[] = [];
  let keptView: ControlView | undefined;
  const usedIdentities = new Set<string>();
  const known = new Map<string, string>();
  const freshView = (): ControlView => startControlView(`${name}-d${disks}`, address, seeds);
  let view = freshView();
  let syncedView = view;
  let rest: MachineProcess | undefined;

  const sendTo = (target: string, message: ControlMessage, to?: string): void => {
    const identity = view.identity;
    const from = address;
    network.send(from, target, () => machineAt(target)?.receive(identity, from, message, to));
  };

  const carryOut = (effect: ControlEffect): void => {
    if (effect.type === 'send') {
      const target = membersOf(view).find((member) => member.identity === effect.to)?.address ?? known.get(effect.to);
      if (target !== undefined) sendTo(target, effect.message, effect.to);
    } else if (effect.type === 'sendTo') sendTo(effect.address, effect.message);
    hear(machine, effect);
  };

  /** Whatever a machine says must be what its disk would give back: its term, its vote, the end of its log. */
  const checkKept = (records: readonly KeptRecord[]): void => {
    keptView = records.reduce(recoveredRecord, keptView ?? view);
    const saidOf = (said: ControlView): string => `term ${said.term}, vote ${said.votedFor ?? 'none'}, log ${lastIndexOf(said)}/${lastTermOf(said)}`;
    if (saidOf(keptView) !== saidOf(view)) hearUnkept(machine, `${name} says ${saidOf(view)}, its disk ${saidOf(keptView)}`);
  };

  const drain = (): void => {
    if (!isUp || isFrozen || isSyncing || waiting.length === 0) return;
    const effects: ControlEffect[] = [];
    const formerView = view;
    for (const event of waiting) {
      const step = stepControl(view, event);
      view = step.view;
      effects.push(...step.effects);
    }
    waiting = [];
    const records = effects.flatMap((effect) => (effect.type === 'keep' ? [effect.record] : []));
    checkKept(records);
    if (records.length === 0) {
      effects.forEach(carryOut);
      return;
    }
    isSyncing = true;
    syncedView = formerView;
    syncStartedUs = world.now();
    const ownLife = life;
    world.after(syncUs * (0.5 + world.chance()), () => {
      if (life !== ownLife) return;
      disk = [...disk, ...records];
      isSyncing = false;
      syncedView = view;
      effects.forEach(carryOut);
      drain();
    });
  };

  const post = (event: ControlEvent): void => {
    if (!isUp) return;
    waiting.push(event);
    drain();
  };

  const tick = (ownLife: number): void => {
    if (life !== ownLife) return;
    if (!isFrozen && isSyncing && world.now() - syncStartedUs < busyDiskUs && world.now() - pulsedUs >= heartbeatSpanUs) {
      pulsedUs = world.now();
      pulseOf(syncedView).forEach(carryOut);
    }
    if (!isFrozen) post({ type: 'tick', at: world.now(), chance: world.chance() });
    world.after(tickUs, () => tick(ownLife));
  };

  const machine: CoreMachine = {
    name,
    address: () => address,
    view: () => view,
    isUp: () => isUp,
    receive: (from, fromAddress, message, to) => {
      known.set(from, fromAddress);
      if (to !== undefined && to !== view.identity) return;
      post({ type: 'message', at: world.now(), chance: world.chance(), from, message });
    },
    post,
    kill: () => {
      isUp = false;
      life += 1;
      waiting = [];
      isSyncing = false;
      isFrozen = false;
      rest?.kill();
    },
    start: () => {
      if (isUp) return;
      life += 1;
      isUp = true;
      const start = freshView();
      view = recoveredView(start, disk);
      keptView = view;
      if (disk.length === 0) {
        if (usedIdentities.has(start.identity)) hearUnkept(machine, `${start.identity} came back without its disk`);
        usedIdentities.add(start.identity);
        disk = [{ type: 'identity', identity: start.identity }];
      }
      rest?.begin();
      tick(life);
    },
    loseDisk: (newAddress) => {
      machine.kill();
      disk = [];
      disks += 1;
      address = newAddress ?? address;
    },
    freeze: () => {
      isFrozen = true;
      rest?.freeze();
    },
    wake: () => {
      isFrozen = false;
      waiting = waiting.map((event) => ({ ...event, at: world.now() }));
      rest?.wake();
      drain();
    },
    slowDisk: (newSyncUs) => {
      syncUs = newSyncUs;
    },
    follow: (process) => {
      rest = process;
    },
  };
  return machine;
};

export const usualDiskUs = usualSyncUs;
