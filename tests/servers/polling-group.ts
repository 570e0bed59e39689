import { Left, Right } from 'purify-ts';
import { delay } from '../../src/common/clock/delay.js';
import { typedError } from '../../src/common/typed-error.js';
import { openCounters, type Counters } from '../../src/process/counters.js';
import { openPollerTask, type PollerTask } from '../../src/process/poller-task.js';
import { openGossipTask, type GossipTask } from '../../src/process/gossip-task.js';
import type { ServerList } from '../../src/servers/list/server-list.js';
import type { ListSource } from '../../src/servers/source/list-source.js';
import type { PolledServer } from '../../src/servers/source/polled-server.js';
import { openSimNode, type SimNode } from '../../src/sim/process/sim-node.js';
import type { SimPorts } from '../../src/sim/process/sim-ports.js';
import { simSurroundingsOf } from '../../src/sim/process/sim-surroundings.js';
import { openNetwork, type Network } from '../../src/sim/world/network.js';
import { openWorld, type World } from '../../src/sim/world/world.js';

export type PollingNode = {
  readonly name: string;
  readonly address: string;
  readonly sim: SimNode;
  readonly spread: GossipTask;
  readonly source: PollerTask;
  readonly counters: Counters;
  /** The lists that the node passed to its routing decisions. */
  readonly lists: ServerList[];
};

/** A simulated platform whose server list is polled. */
export type PolledPlatform = {
  servers: readonly PolledServer[];
  /** Whether its responses contain all pages. */
  whole: boolean;
  /** Whether it rejects every poll with a rate limit error. */
  rejectsPolls: boolean;
  /** Nodes whose polls do not reach it. */
  readonly cutOffNodes: Set<string>;
  readonly calls: { readonly who: string; readonly atUs: number }[];
};

export type PollingGroup = {
  readonly world: World;
  readonly network: Network;
  readonly platform: PolledPlatform;
  readonly nodes: readonly PollingNode[];
  readonly frames: Map<string, number>;
  readonly add: (name: string) => PollingNode;
};

const responseDelayUs = 20_000;

/** Nodes that poll and gossip, in virtual time. A node whose name begins with c is a control node. */
export const openPollingGroup = (seed: number, names: readonly string[]): PollingGroup => {
  const world = openWorld(seed);
  const network = openNetwork(world);
  const ports: SimPorts = new Map();
  const platform: PolledPlatform = { servers: [], whole: true, rejectsPolls: false, cutOffNodes: new Set(), calls: [] };
  const frames = new Map<string, number>();
  const seeds = names.slice(0, 3).map((name) => `${name}:1`);
  const nodes: PollingNode[] = [];
  const add = (name: string): PollingNode => {
    const address = `${name}:1`;
    const sim = openSimNode(world);
    const instance = sim.begin();
    const listSource: ListSource = {
      read: async () => {
        platform.calls.push({ who: name, atUs: world.now() });
        if (platform.rejectsPolls) return Left(typedError('over-rate', '429'));
        if (platform.cutOffNodes.has(name)) return Left(typedError('unreachable', 'cut off'));
        const { servers, whole } = platform;
        await delay(instance.clock, responseDelayUs);
        return Right({ servers, whole });
      },
    };
    const surroundings = {
      ...simSurroundingsOf(
        { world, network, ports, serverAt: () => undefined, note: () => undefined },
        name,
        address,
        instance,
      ),
      listSource,
    };
    const role = name.startsWith('c') ? 'control' : 'router';
    const counters = openCounters();
    const log = { change: () => undefined };
    const spread = openGossipTask(
      { node: name, role, address, http: `${address}/http`, locality: 'a' },
      seeds,
      log,
      counters,
      surroundings,
    );
    const source = openPollerTask(role, name, spread, log, counters, surroundings);
    const lists: ServerList[] = [];
    spread.events.on('list', (list) => lists.push(list));
    void spread.start();
    source.start();
    const listener = ports.get(address);
    ports.set(address, (from, frame, envelope) => {
      frames.set(frame.type, (frames.get(frame.type) ?? 0) + 1);
      listener?.(from, frame, envelope);
    });
    const node = { name, address, sim, spread, source, counters, lists };
    nodes.push(node);
    return node;
  };
  names.forEach(add);
  return { world, network, platform, nodes, frames, add };
};
