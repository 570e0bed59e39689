import { openHistory, type History } from '../../rehearsal/history/history.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { openCoreIn, type CoreFleet } from '../core/core-fleet.js';
import { watchCore, type CoreRules } from '../core/core-rules.js';
import { openNetwork, type Network } from '../world/network.js';
import { openWorld, type World } from '../world/world.js';
import { openSimNode, type SimNode } from './sim-node.js';
import { openSimPlatform, type SimPlatform } from './sim-platform.js';
import { openSimRouter, type SimRouter } from './sim-router.js';
import { openSimServer, type SimServer } from './sim-server.js';
import { openSimSpread, type SimSpread } from './sim-spread.js';

/** A whole fleet in a virtual world. */
export type SimFleet = {
  readonly world: World;
  readonly network: Network;
  readonly history: History;
  readonly core: CoreFleet;
  readonly rules: CoreRules;
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
  const core = openCoreIn(world, network);
  const rules = watchCore(core);
  const coreNodes = new Map<string, SimNode>();
  const spreads = new Map<string, SimSpread>();
  const spreadAt = (address: string): SimSpread | undefined => {
    const machine = core.machines.find((known) => known.address() === address);
    return spreads.get(machine?.name ?? address);
  };
  const seeds = (): readonly string[] => core.machines.map((machine) => machine.address());
  for (const machine of core.machines) {
    const node = openSimNode(world);
    const spread = openSimSpread({
      name: machine.name,
      role: 'control',
      address: machine.address,
      seeds,
      node,
      world,
      network,
      spreadAt,
      hear: () => undefined,
    });
    coreNodes.set(machine.name, node);
    spreads.set(machine.name, spread);
    machine.follow({ begin: () => (node.begin(), spread.begin()), kill: node.kill, freeze: node.freeze, wake: node.wake });
  }
  core.onEffect((machine, effect) => {
    if (effect.type !== 'taken') return;
    coreNodes.get(machine.name)?.run(() => spreads.get(machine.name)?.take({ type: 'setup', at: world.now(), record: effect.record }));
  });

  const servers = new Map<string, SimServer>();
  const leaving = new Map<string, number>();
  const listedAt = new Map<SimServer, number>();
  let serverCount = 0;
  const routers = Array.from({ length: routerCount }, (_, index) =>
    openSimRouter({
      name: `r${index + 1}`,
      address: `router-${index + 1}:1`,
      seeds,
      world,
      network,
      core,
      spreadAt,
      serverAt: (address) => [...servers.values()].find((server) => server.listed.address === address && server.isUp()),
    }),
  );
  for (const router of routers) spreads.set(router.address, router.spread);
  const platform = openSimPlatform(world, network, history, routers, [
    ...routers.map((router) => ({ address: () => router.address, node: router.node, spread: router.spread })),
    ...core.machines.flatMap((machine) => {
      const node = coreNodes.get(machine.name);
      const spread = spreads.get(machine.name);
      return node === undefined || spread === undefined ? [] : [{ address: machine.address, node, spread }];
    }),
  ]);

  const showServers = (): void => {
    const shown: ListedServer[] = [];
    for (const [id, server] of servers) {
      const listedAtUs = listedAt.get(server) ?? platform.now();
      listedAt.set(server, listedAtUs);
      const leavingAtUs = leaving.get(id);
      if (!server.isUp() && leavingAtUs === undefined) continue;
      shown.push({ ...server.listed, listedAtUs, ...(leavingAtUs === undefined ? {} : { state: 'leaving', leavingAtUs }) });
    }
    platform.show(shown);
  };

  return {
    world,
    network,
    history,
    core,
    rules,
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
        locality: 'a',
        listedAtUs: platform.now(),
        state: 'up',
      };
      const server = openSimServer(world, history, listed);
      servers.set(listed.id, server);
      leaving.delete(listed.id);
      return server;
    },
    showServers,
    leave: (server) => {
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
