import { randomItem } from '../../common/random.js';
import { openTroubleNotes } from '../../rehearsal/history/trouble-notes.js';
import { localities } from '../core/core-fleet.js';
import type { SimControl } from '../core/sim-control.js';
import type { SimCallers } from './sim-callers.js';
import type { SimFleet } from './sim-fleet.js';
import type { SimRouter } from './sim-router.js';
import type { SimServer } from './sim-server.js';

/** A fault of the brief, brought about in a virtual fleet. */
export type FleetFault = {
  readonly name: string;
  readonly bring: (fleet: SimFleet, callers: SimCallers) => void;
};

const second = 1_000_000;

const anyRouter = (fleet: SimFleet): SimRouter | undefined => randomItem(fleet.world.chance, fleet.routers);

const anyModel = (fleet: SimFleet): SimServer | undefined =>
  randomItem(
    fleet.world.chance,
    fleet.servers().filter((server) => server.listed.service === 'model'),
  );

const within = (fleet: SimFleet, least: number, more: number): number => least + fleet.world.chance() * more;

const addressesOf = (fleet: SimFleet): readonly string[] => [
  ...fleet.routers.map((router) => router.address),
  ...fleet.core.machines.map((machine) => machine.address()),
];

const cutApart = (fleet: SimFleet, left: readonly string[], right: readonly string[], oneWay: boolean): void => {
  for (const from of left)
    for (const to of right) {
      fleet.network.cut(from, to);
      if (!oneWay) fleet.network.cut(to, from);
    }
};

/** Ends all cuts after a while. */
const healLater = (fleet: SimFleet): void => {
  const span = Math.ceil(within(fleet, 2 * second, 5 * second));
  fleet.world.after(span, fleet.network.heal);
};

const killRouter = (fleet: SimFleet, router: SimRouter): void => {
  router.kill();
  fleet.world.after(within(fleet, 500_000, 3 * second), router.start);
};

const crashServer = (fleet: SimFleet, server: SimServer, reusedBy?: string): void => {
  server.crash();
  if (reusedBy !== undefined)
    fleet.world.after(within(fleet, 10_000, 50_000), () =>
      fleet.openServer(reusedBy, undefined, server.listed.address),
    );
  fleet.world.after(within(fleet, 200_000, second), () => {
    fleet.openServer(server.listed.service, server.listed.id);
    fleet.showServers();
  });
};

const killCore = (fleet: SimFleet, machine: SimControl): void => {
  machine.kill();
  fleet.world.after(within(fleet, 500_000, 2 * second), machine.start);
};

/** All that stands in one locality, drawn by lot. */
const localityOf = (fleet: SimFleet) => {
  const locality = randomItem(fleet.world.chance, localities);
  return {
    inside: fleet.routers.filter((router) => router.locality === locality),
    machines: fleet.core.machines.filter((machine) => machine.locality === locality),
    servers: fleet.servers().filter((server) => server.listed.locality === locality),
  };
};

export const fleetFaults: readonly FleetFault[] = [
  {
    name: 'kill a router',
    bring: (fleet) => {
      const router = anyRouter(fleet);
      if (router !== undefined) killRouter(fleet, router);
    },
  },
  { name: 'kill all routers', bring: (fleet) => fleet.routers.forEach((router) => killRouter(fleet, router)) },
  {
    name: 'kill every process',
    bring: (fleet) => {
      fleet.routers.forEach((router) => killRouter(fleet, router));
      for (const machine of fleet.core.machines) killCore(fleet, machine);
    },
  },
  {
    name: 'lose a whole locality',
    bring: (fleet) => {
      const { inside, machines, servers } = localityOf(fleet);
      inside.forEach((router) => killRouter(fleet, router));
      for (const machine of machines) killCore(fleet, machine);
      for (const server of servers) crashServer(fleet, server);
    },
  },
  {
    name: 'split a whole locality off',
    bring: (fleet) => {
      const { inside, machines, servers } = localityOf(fleet);
      const own = [
        ...inside.map((router) => router.address),
        ...machines.map((machine) => machine.address()),
        ...servers.map((server) => server.listed.address),
      ];
      const others = [...addressesOf(fleet), ...fleet.servers().map((server) => server.listed.address)].filter(
        (address) => !own.includes(address),
      );
      cutApart(fleet, own, others, false);
      healLater(fleet);
    },
  },
  {
    name: 'a server turns grey',
    bring: (fleet) => {
      const server = anyModel(fleet);
      server?.become(randomItem(fleet.world.chance, ['slow', 'stuck', 'erring'] as const) ?? 'slow');
      fleet.world.after(within(fleet, 2 * second, 4 * second), () => server?.become('well'));
    },
  },
  {
    name: 'all model servers err',
    bring: (fleet) => {
      const models = fleet.servers().filter((server) => server.listed.service === 'model');
      for (const server of models) server.become('erring');
      fleet.world.after(3 * second, () => models.forEach((server) => server.become('well')));
    },
  },
  {
    name: 'a clock jumps',
    bring: (fleet) => {
      const nodes = [
        ...fleet.routers.map((router) => router.node),
        ...fleet.core.machines.map((machine) => machine.node),
      ];
      randomItem(fleet.world.chance, nodes)?.jump(within(fleet, second, 100 * second));
    },
  },
  {
    name: 'clocks drift',
    bring: (fleet) => fleet.routers.forEach((router) => router.node.drift(Math.round(within(fleet, -450, 900)))),
  },
  {
    name: 'a server leaves in its warm-up',
    bring: (fleet) => {
      const joiner = fleet.openServer('model');
      fleet.showServers();
      fleet.world.after(2 * second, () => fleet.leave(joiner));
    },
  },
  {
    name: 'a server leaves in the middle of a carry-over',
    bring: (fleet) => {
      const server = anyModel(fleet);
      if (server !== undefined) crashServer(fleet, server);
      fleet.world.after(150_000, () => {
        const leaver = anyModel(fleet);
        if (leaver !== undefined) fleet.leave(leaver);
      });
    },
  },
  {
    name: 'kill half of the routers',
    bring: (fleet) =>
      fleet.routers.filter((_, place) => place % 2 === 0).forEach((router) => killRouter(fleet, router)),
  },
  {
    name: 'freeze a router',
    bring: (fleet) => {
      const router = anyRouter(fleet);
      router?.node.freeze();
      fleet.world.after(within(fleet, second, 6 * second), () => router?.node.wake());
    },
  },
  {
    name: 'freeze a router while an address passes to another service',
    bring: (fleet) => {
      const router = anyRouter(fleet);
      router?.node.freeze();
      const server = anyModel(fleet);
      if (server !== undefined) crashServer(fleet, server, 'ledger');
      fleet.world.after(within(fleet, 2 * second, 4 * second), () => router?.node.wake());
    },
  },
  {
    name: 'crash a server',
    bring: (fleet) => {
      const server = anyModel(fleet);
      if (server !== undefined) crashServer(fleet, server);
    },
  },
  {
    name: 'crash a server whose address passes to another service',
    bring: (fleet) => {
      const server = anyModel(fleet);
      if (server !== undefined) crashServer(fleet, server, 'ledger');
    },
  },
  { name: 'a server goes dark', bring: (fleet) => anyModel(fleet)?.goDark(within(fleet, second, 5 * second)) },
  {
    name: 'all model servers go dark',
    bring: (fleet) => {
      for (const server of fleet.servers()) if (server.listed.service === 'model') server.goDark(4 * second);
    },
  },
  {
    name: 'a server leaves and another joins',
    bring: (fleet) => {
      const server = anyModel(fleet);
      fleet.openServer('model');
      if (server !== undefined) fleet.leave(server);
    },
  },
  {
    name: 'freeze a router while a server leaves, with no news waiting at the wake-up',
    bring: (fleet) => {
      const router = anyRouter(fleet);
      if (router === undefined) return;
      const span = Math.ceil(within(fleet, 4 * second, 3 * second));
      const others = addressesOf(fleet).filter((address) => address !== router.address);
      router.node.freeze();
      cutApart(fleet, [router.address], others, false);
      fleet.network.cut('platform', router.address);
      fleet.world.after(span, () => {
        fleet.network.heal();
        router.node.wake();
      });
      fleet.world.after(within(fleet, 100_000, 400_000), () => {
        const server = anyModel(fleet);
        fleet.openServer('model');
        if (server !== undefined) fleet.leave(server);
      });
    },
  },
  {
    name: 'a server leaves while the fleet is split',
    bring: (fleet) => {
      const addresses = addressesOf(fleet);
      cutApart(fleet, addresses.slice(0, addresses.length >> 1), addresses.slice(addresses.length >> 1), false);
      const server = anyModel(fleet);
      fleet.openServer('model');
      if (server !== undefined) fleet.leave(server);
      healLater(fleet);
    },
  },
  {
    name: 'isolate a router from its partners',
    bring: (fleet) => {
      const router = anyRouter(fleet);
      if (router !== undefined)
        cutApart(
          fleet,
          [router.address],
          addressesOf(fleet).filter((address) => address !== router.address),
          fleet.world.chance() < 0.3,
        );
      healLater(fleet);
    },
  },
  {
    name: 'cut a router off from some servers',
    bring: (fleet) => {
      const router = anyRouter(fleet);
      const some = fleet.servers().filter(() => fleet.world.chance() < 0.4);
      if (router !== undefined)
        cutApart(
          fleet,
          [router.address],
          some.map((server) => server.listed.address),
          fleet.world.chance() < 0.3,
        );
      healLater(fleet);
    },
  },
  {
    name: 'cut the core off',
    bring: (fleet) => {
      cutApart(
        fleet,
        fleet.core.machines.map((machine) => machine.address()),
        fleet.routers.map((router) => router.address),
        false,
      );
      healLater(fleet);
    },
  },
  {
    name: 'split the core',
    bring: (fleet) => {
      const [first, ...others] = fleet.core.machines.map((machine) => machine.address());
      if (first !== undefined) cutApart(fleet, [first], others, fleet.world.chance() < 0.3);
      healLater(fleet);
    },
  },
  {
    name: 'kill the leader of the core',
    bring: (fleet) => {
      const leader = fleet.core.leader();
      leader?.kill();
      fleet.world.after(within(fleet, 500_000, 3 * second), () => leader?.start());
    },
  },
  {
    name: 'loss and delay',
    bring: (fleet) => {
      fleet.network.lossy(0.15);
      fleet.network.slow(10);
      healLater(fleet);
    },
  },
  {
    name: 'a crowd on one opening',
    bring: (fleet, callers) => {
      const { hit } = openTroubleNotes(fleet.history, fleet.world.now);
      hit('begins', 'callers', 'crowd');
      callers.crowd(0.7);
      callers.speed(3);
      fleet.world.after(5 * second, () => {
        hit('ends', 'callers', 'crowd');
        callers.crowd(0);
        callers.speed(1);
      });
    },
  },
];

/** Ends all trouble, and lets everything that was down come back. */
export const endFleetFaults = (fleet: SimFleet, callers: SimCallers): void => {
  fleet.network.heal();
  callers.crowd(0);
  callers.speed(1);
  for (const server of fleet.servers()) server.become('well');
  for (const machine of fleet.core.machines) {
    machine.node.wake();
    machine.start();
  }
  for (const router of fleet.routers) {
    router.node.wake();
    router.start();
  }
};
