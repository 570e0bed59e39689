import { EventEmitter } from 'node:events';
import type { Micros } from '../common/micros.js';
import { typedError } from '../common/typed-error.js';
import { Left } from 'purify-ts';
import type { DecisionPolicy } from '../decision/policy.js';
import { openCounters, type Counters } from '../process/counters.js';
import { openResponseMemory } from '../process/memory/response-memory.js';
import { openRouterTask, type RouterTask } from '../process/router/router-task.js';
import { defaultMemoryBytes } from '../process/settings/node-settings.js';
import type { GossipTaskEvents } from '../process/gossip-task-events.js';
import type { GossipTask } from '../process/gossip-task.js';
import type { ServerList } from '../servers/list/server-list.js';
import { serverKeyOf } from '../servers/list/server-key.js';
import type { SetupRecord } from '../setup/document/setup-record.js';
import type { Clock } from '../common/clock/clock.js';
import type { World } from '../sim/world/world.js';
import { initialGossipView, type GossipView } from '../spread/machine/gossip-view.js';
import type { Peer } from '../spread/peer/peer.js';
import type { EmulatedServer } from './emulated-server.js';

/** A router's decision, tries and connections, without its callers' sockets and its membership. */
export type EmulatedRouter = { readonly task: RouterTask; readonly counters: Counters; readonly locality: string };

export type EmulatedRoutersPlan = {
  readonly world: World;
  readonly count: number;
  readonly localityOf: (place: number) => string;
  readonly servers: readonly EmulatedServer[];
  readonly record: SetupRecord;
  readonly list: ServerList;
  readonly policy: DecisionPolicy;
  readonly delayUsBetween: (from: string, to: string) => Micros;
};

/** Virtual time as a task knows it. */
const clockOf = (world: World): Clock => ({
  now: world.now,
  after: (span, act) => {
    let isTakenBack = false;
    world.after(span, () => {
      if (!isTakenBack) act();
    });
    return () => {
      isTakenBack = true;
    };
  },
});

const partnerOf = (place: number, locality: string): Peer => ({
  node: `r${place}`,
  role: 'router',
  address: `r${place}:1`,
  http: `r${place}:2`,
  locality,
});

/** Opens routers that know each other, all servers and one configuration. */
export const openEmulatedRouters = (plan: EmulatedRoutersPlan): readonly EmulatedRouter[] => {
  const { world, servers, record, list, policy, delayUsBetween } = plan;
  const partners = Array.from({ length: plan.count }, (_, place) => partnerOf(place, plan.localityOf(place)));
  const serversByKey = new Map(servers.map((server) => [serverKeyOf(server.listed), server]));
  const emitters = new Map(partners.map(({ address }) => [address, new EventEmitter<GossipTaskEvents>()]));
  const localities = new Map(partners.map(({ address, locality }) => [address, locality]));

  const viewOf = (self: Peer): GossipView => {
    const start = initialGossipView(self, []);
    const others = partners.filter((partner) => partner !== self);
    const known = start.partners.withMutations((map) => {
      for (const partner of others)
        map.set(partner.address, { partner, incarnation: 1, heardUs: 0, suspectUs: undefined });
    });
    return { ...start, partners: known, routers: partners.length };
  };

  const spreadOf = (self: Peer): GossipTask => {
    const view = viewOf(self);
    return {
      events: emitters.get(self.address) ?? new EventEmitter<GossipTaskEvents>(),
      view: () => view,
      platformUs: () => list.atUs + world.now(),
      start: () => Promise.resolve(),
      offerSetup: () => undefined,
      offerList: () => undefined,
      offerReading: () => undefined,
      refresh: () => undefined,
      reseed: () => undefined,
      send: (address, frame) => {
        const emitter = emitters.get(address);
        if (emitter === undefined) return;
        world.after(delayUsBetween(self.locality, localities.get(address) ?? ''), () => {
          if (frame.type === 'work') emitter.emit('work', frame);
          else if (frame.type === 'server-failure') emitter.emit('serverFailure', frame);
          else if (frame.type === 'server-load') emitter.emit('serverLoad', frame);
        });
      },
      close: () => undefined,
    };
  };

  return partners.map((self, place) => {
    const counters = openCounters();
    const spread = spreadOf(self);
    let names = 0;
    const task = openRouterTask({
      node: self.node,
      spread,
      gate: { waitUntilOpen: () => Promise.resolve(true), isShut: () => false },
      log: { change: () => undefined },
      counters,
      responseMemory: openResponseMemory(defaultMemoryBytes, counters),
      policy,
      surroundings: {
        clock: clockOf(world),
        dial: (listed) => {
          const server = serversByKey.get(serverKeyOf(listed));
          return server === undefined
            ? Promise.resolve(Left(typedError('link-refused', 'nothing is there')))
            : server.dial(delayUsBetween(self.locality, listed.locality));
        },
        freshName: () => {
          names += 1;
          return `r${place}-${names}`;
        },
        probesNothing: true,
      },
      release: () => undefined,
    });
    task.start();
    spread.events.emit('setup', record);
    spread.events.emit('list', list);
    return { task, counters, locality: self.locality };
  });
};
