import { randomItem } from '../../common/random.js';
import type { AskedCore, CoreFleet } from './core-fleet.js';
import { usualDiskUs, type SimControl } from './sim-control.js';

const second = 1_000_000;

type Fault = { readonly name: string; readonly bring: (fleet: AskedCore) => void };

const anyMachine = (fleet: CoreFleet): SimControl | undefined => randomItem(fleet.world.chance, fleet.machines);

const upAgain = (fleet: CoreFleet, machine: SimControl): void =>
  fleet.world.after(200_000 + fleet.world.chance() * 4 * second, machine.start);

/** The process is killed in its next sync and started at once; power is lost in the first or second sync after that. */
const killThenLosePower = (fleet: CoreFleet, machine: SimControl): void => {
  const losePower = (): void => {
    machine.kill();
    upAgain(fleet, machine);
  };
  machine.inNextSync('any', () => {
    machine.killProcess();
    machine.start();
    machine.inNextSync('any', (endSync) => {
      if (fleet.world.chance() < 0.5) {
        losePower();
        return;
      }
      endSync();
      machine.inNextSync('any', losePower);
    });
  });
};

const isolate = (fleet: CoreFleet, machine: SimControl, inward: boolean, outward: boolean): void => {
  for (const other of fleet.machines) {
    if (other === machine) continue;
    if (outward) fleet.network.cut(machine.address(), other.address());
    if (inward) fleet.network.cut(other.address(), machine.address());
  }
};

/** Whether all three machines vote and have caught up, so that one more loss can be borne. */
export const isWhole = (fleet: CoreFleet): boolean => {
  const view = fleet.leader()?.replica();
  return (
    view !== undefined &&
    view.snapshot.members.length + view.entries.length > 0 &&
    fleet.machines.every((machine) => {
      const own = machine.replica();
      return (
        machine.isUp() &&
        own.term === view.term &&
        own.commit >= view.commit &&
        (own.role === 'leader' || own.role === 'follower')
      );
    })
  );
};

const faults: readonly Fault[] = [
  {
    name: 'kill one',
    bring: (fleet) => {
      const machine = anyMachine(fleet);
      if (machine === undefined) return;
      machine.kill();
      upAgain(fleet, machine);
    },
  },
  {
    name: 'kill the leader',
    bring: (fleet) => {
      const machine = fleet.leader();
      if (machine === undefined) return;
      machine.kill();
      upAgain(fleet, machine);
    },
  },
  {
    name: 'each process killed in a sync, then power lost in a later one',
    bring: (fleet) => {
      for (const machine of fleet.machines) killThenLosePower(fleet, machine);
    },
  },
  {
    name: 'power lost while one makes its next ring file',
    bring: (fleet) => {
      const machine = anyMachine(fleet);
      machine?.inNextSync('rotation', () => {
        machine.kill();
        upAgain(fleet, machine);
      });
    },
  },
  {
    name: 'kill all',
    bring: (fleet) => {
      for (const machine of fleet.machines) {
        machine.kill();
        upAgain(fleet, machine);
      }
    },
  },
  {
    name: 'freeze one',
    bring: (fleet) => {
      const machine = anyMachine(fleet);
      if (machine === undefined) return;
      machine.node.freeze();
      fleet.world.after(500_000 + fleet.world.chance() * 5 * second, machine.node.wake);
    },
  },
  {
    name: 'isolate one',
    bring: (fleet) => {
      const machine = anyMachine(fleet);
      if (machine !== undefined) isolate(fleet, machine, true, true);
      fleet.world.after(2 * second + fleet.world.chance() * 4 * second, fleet.network.heal);
    },
  },
  {
    name: 'isolate the leader',
    bring: (fleet) => {
      const machine = fleet.leader();
      if (machine !== undefined) isolate(fleet, machine, true, true);
      fleet.world.after(2 * second + fleet.world.chance() * 4 * second, fleet.network.heal);
    },
  },
  {
    name: 'one-way cut',
    bring: (fleet) => {
      const machine = anyMachine(fleet);
      const inward = fleet.world.chance() < 0.5;
      if (machine !== undefined) isolate(fleet, machine, inward, !inward);
      fleet.world.after(2 * second + fleet.world.chance() * 4 * second, fleet.network.heal);
    },
  },
  {
    name: 'loss and delay',
    bring: (fleet) => {
      fleet.network.lossy(0.25);
      fleet.network.slow(20);
      fleet.world.after(3 * second, fleet.network.heal);
    },
  },
  {
    name: 'slow disk',
    bring: (fleet) => {
      const machine = anyMachine(fleet);
      machine?.slowDisk(150_000);
      fleet.world.after(4 * second, () => machine?.slowDisk(usualDiskUs));
    },
  },
  {
    name: 'stalled disk of the leader',
    bring: (fleet) => {
      const machine = fleet.leader();
      machine?.slowDisk(3 * second);
      fleet.world.after(2 * second, () => machine?.slowDisk(usualDiskUs));
    },
  },
  {
    name: 'full disk of the leader',
    bring: (fleet) => {
      const machine = fleet.leader();
      machine?.fillDisk(true);
      fleet.world.after(2 * second, () => {
        machine?.fillDisk(false);
        machine?.start();
      });
    },
  },
  {
    name: 'power lost at all at once, just after a yes',
    bring: (fleet) => {
      void fleet.client
        .ask(
          { type: 'propose', command: { type: 'claim', key: `yes-${fleet.world.now()}`, exchange: 'x', atUs: 0 } },
          2 * second,
        )
        .then(() => {
          for (const machine of fleet.machines) {
            machine.kill();
            upAgain(fleet, machine);
          }
        });
    },
  },
  {
    name: 'lost disk',
    bring: (fleet) => {
      const machine = anyMachine(fleet);
      if (machine === undefined || !isWhole(fleet)) return;
      machine.loseDisk(fleet.world.chance() < 0.5 ? `core-new-${fleet.world.now()}:1` : undefined);
      upAgain(fleet, machine);
    },
  },
];

/** Brings a fault now and then, until a moment. */
export const bringFaults = (fleet: AskedCore, untilUs: number, tell: (name: string) => void): void => {
  const next = (): void => {
    if (fleet.world.now() >= untilUs) return;
    const fault = randomItem(fleet.world.chance, faults);
    tell(fault?.name ?? 'none');
    fault?.bring(fleet);
    fleet.world.after(500_000 + fleet.world.chance() * 5 * second, next);
  };
  fleet.world.after(3 * second, next);
};

/** Ends all trouble. */
export const endFaults = (fleet: CoreFleet): void => {
  fleet.network.heal();
  for (const machine of fleet.machines) {
    machine.slowDisk(usualDiskUs);
    machine.fillDisk(false);
    machine.endActInSync();
    machine.node.wake();
    machine.start();
  }
};
