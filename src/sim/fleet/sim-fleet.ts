import { openTroubleNotes } from '../../rehearsal/history/trouble-notes.js';
import { openHistory, type History } from '../../rehearsal/history/history.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { localities, openCoreIn, type CoreFleet } from '../core/core-fleet.js';
import type { SimCommons } from '../process/sim-surroundings.js';
import { openNetwork, type Network } from '../world/network.js';
import { openWorld, type World } from '../world/world.js';
import { openSimPlatform, type SimPlatform } from './sim-platform.js';
import { openSimRouter, type SimRouter } from './sim-router.js';
import { openSimServer, type SimServer } from './sim-server.js';

/** A whole fleet in a virtual world. */
export type SimFleet = {
  readonly world: World;
  readonly network: Network;
  readonly history: History;
  readonly core: CoreFleet;
  readonly routers: readonly SimRouter[];
  readonly platform: SimPlatform;
  /** Servers that run now. */
  readonly servers: () => readonly SimServer[];
  /** Starts a server; under a former id it is a new incarnation of it. */
  readonly openServer: (service: string, id?: string, address?: string) => SimServer;
  /** Shows all servers that run, and those that are said to leave. */
  readonly showServers: () => void;
  readonly leave: (server: SimServer) => void;
};

export const openSimFleet = (seed: number, routerCount: number): SimFleet => {
  const world = openWorld(seed);
  const network = openNetwork(world);
  const history = openHistory();
  const servers = new Map<string, SimServer>();
  const leaving = new Map<string, number>();
  const listedAt = new Map<SimServer, number>();
  let serverCount = 0;
  const serverAt = (address: string): SimServer | undefined =>
    [...servers.values()].find((server) => server.listed.address === address && server.isUp());
  const notes = openTroubleNotes(history, world.now);
  const commons: SimCommons = { world, network, ports: new Map(), serverAt, note: notes.hit };
  const core = openCoreIn(commons);
  const routers = Array.from({ length: routerCount }, (_, index) => {
    const name = `r${index + 1}`;
    return openSimRouter({
      name,
      locality: localities[index % 3] ?? 'a',
      address: `router-${index + 1}:1`,
      seeds: () => core.machines.map((machine) => machine.address()),
      commons,
      log: core.rules.logOf(() => name),
    });
  });
  const platform = openSimPlatform(
    world,
    network,
    history,
    routers,
    [
      ...routers.map((router) => ({
        address: () => router.address,
        spread: () => router.tasks()?.spread,
        node: router.node,
      })),
      ...core.machines.map((machine) => ({
        address: machine.address,
        spread: () => machine.tasks()?.spread,
        node: machine.node,
      })),
    ],
    core.rules.breakRule,
  );

  for (const router of routers) history.nodes.push({ node: router.name, role: 'router' });
  for (const machine of core.machines) history.nodes.push({ node: machine.name, role: 'control' });
  const nameAt = (address: string): string =>
    routers.find((router) => router.address === address)?.name ??
    core.machines.find((machine) => machine.address() === address)?.name ??
    serverAt(address)?.listed.id ??
    address;
  network.watch({
    cut: (from, to) => notes.cut(nameAt(from), nameAt(to)),
    heal: notes.heal,
  });

  const showServers = (): void => {
    const shown: ListedServer[] = [];
    for (const [id, server] of servers) {
      const listedAtUs = listedAt.get(server) ?? platform.now();
      listedAt.set(server, listedAtUs);
      const leavingAtUs = leaving.get(id);
      if (!server.isUp() && leavingAtUs === undefined) continue;
      shown.push({
        ...server.listed,
        listedAtUs,
        ...(leavingAtUs === undefined ? {} : { state: 'leaving', leavingAtUs }),
      });
    }
    platform.show(shown);
  };

  return {
    world,
    network,
    history,
    core,
    routers,
    platform,
    servers: () => [...servers.values()].filter((server) => server.isUp()),
    openServer: (service, id, address) => {
      serverCount += 1;
      const listed: ListedServer = {
        id: id ?? `s${serverCount}`,
        incarnation: `i${serverCount}`,
        service,
        address: address ?? `10.9.0.${serverCount % 250}:${1000 + serverCount}`,
        locality: localities[serverCount % 3] ?? 'a',
        listedAtUs: platform.now(),
        state: 'up',
      };
      const server = openSimServer(world, history, listed);
      history.servers.push({ server: listed.id, service, openedUs: world.now() });
      notes.hit('ends', listed.id, 'down');
      servers.set(listed.id, server);
      leaving.delete(listed.id);
      return server;
    },
    showServers,
    leave: (server) => {
      if (leaving.has(server.listed.id)) return;
      leaving.set(server.listed.id, platform.now());
      showServers();
      world.after(9_000_000, () => {
        if (servers.get(server.listed.id) !== server) return;
        server.crash();
        servers.delete(server.listed.id);
        leaving.delete(server.listed.id);
        showServers();
      });
    },
  };
};
