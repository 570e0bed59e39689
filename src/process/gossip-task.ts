import { EventEmitter } from 'node:events';
import { lowerBoundAt, maxClockStepUs } from '../common/clock/time-bound.js';
import { callEvery } from '../common/clock/every.js';
import type { Micros } from '../common/micros.js';
import type { ServerList } from '../servers/list/server-list.js';
import type { ListReading } from '../servers/source/list-reading.js';
import type { SetupRecord } from '../setup/document/setup-record.js';
import type { Frame } from '../spread/frame/frame.js';
import type { DropCause } from '../spread/link/instance-fence.js';
import type { LinkOptions } from '../spread/link/link-options.js';
import type { GossipEffect } from '../spread/machine/gossip-effect.js';
import type { GossipEvent } from '../spread/machine/gossip-event.js';
import { initialGossipView, type GossipView } from '../spread/machine/gossip-view.js';
import { stepGossip } from '../spread/machine/step.js';
import type { Peer } from '../spread/peer/peer.js';
import type { Counters } from './counters.js';
import type { Log } from './log.js';
import type { GossipTaskEvents } from './gossip-task-events.js';
import type { Surroundings } from './surroundings/surroundings.js';

/** Owns the links to the peers and the state that is gossiped over them: membership, setup, server list and platform time. */
export type GossipTask = {
  readonly events: EventEmitter<GossipTaskEvents>;
  readonly view: () => GossipView;
  /** A lower bound of the platform's time; 0 while none is known. */
  readonly platformUs: () => Micros;
  readonly start: () => Promise<void>;
  /** Adopts and gossips a setup if it is newer than the known one. */
  readonly offerSetup: (record: SetupRecord) => void;
  readonly offerList: (list: ServerList) => void;
  /** Merges a reading of the platform's server list; `begunAt` is the monotonic time at which the poll began. */
  readonly offerReading: (reading: ListReading, begunAt: Micros) => void;
  readonly refresh: () => void;
  /** Replaces the seeds after a change of the settings. */
  readonly reseed: (seeds: readonly string[]) => void;
  readonly send: (address: string, frame: Frame) => void;
  readonly close: () => void;
};

/** The heartbeat interval of a small fleet is a multiple of this. */
const tickUs: Micros = 100_000;
/** With more peers than this, the log contains their number instead of their names. */
const maxNamedPeers = 16;
/** The number of peers is logged at most once per interval. */
const peerLogIntervalUs: Micros = 1_000_000;

const dropCounters: Readonly<Record<DropCause, string>> = {
  'other-life': 'frames.otherLife',
  'other-fleet': 'frames.otherFleet',
};

export const openGossipTask = (
  self: Peer,
  seeds: readonly string[],
  log: Log,
  counters: Counters,
  { clock, openPartnerLinks }: Pick<Surroundings, 'clock' | 'openPartnerLinks'>,
  options: LinkOptions = {},
): GossipTask => {
  const links = openPartnerLinks(self.address, options);
  const events = new EventEmitter<GossipTaskEvents>();
  let view = initialGossipView(self, seeds);
  let stopTicks = (): void => undefined;
  let peersLoggedUs = Number.NEGATIVE_INFINITY;
  const foreignAddresses = new Set<string>();

  /** Rate-limited for many peers, since they become known one by one when a large fleet starts. */
  const logPeers = (): void => {
    const { size } = view.partners;
    if (size <= maxNamedPeers) {
      log.change('peers known', { nodes: [...view.partners.values()].map(({ partner }) => partner.node).sort() });
      return;
    }
    const nowUs = clock.now();
    if (nowUs < peersLoggedUs + peerLogIntervalUs) return;
    peersLoggedUs = nowUs;
    log.change('peers known', { count: size });
  };

  const runEffect = (effect: GossipEffect): void => {
    switch (effect.type) {
      case 'send':
        links.send(effect.address, effect.frame);
        return;
      case 'setup':
        log.change('setup in force', { revision: effect.record.revision, name: effect.record.setup.name });
        events.emit('setup', effect.record);
        return;
      case 'list':
        log.change('list in force', { version: effect.list.version, servers: effect.list.servers.length });
        events.emit('list', effect.list);
        return;
      case 'read':
        events.emit('read', effect.by, effect.ageUs);
        return;
      case 'time':
        events.emit('time', effect.platformUs);
        return;
      case 'partners':
        logPeers();
        return;
      case 'routers':
        events.emit('routers', effect.routers + effect.lost);
        return;
      case 'isolated':
        log.change(effect.isolated ? 'isolated' : 'among partners', {});
        return;
      case 'refreshed':
        events.emit('refreshed');
        return;
    }
  };

  /** Counts each dropped frame, and logs each sender of another fleet once. */
  const countDropped = (cause: DropCause, from: string): void => {
    counters.count(dropCounters[cause]);
    if (cause !== 'other-fleet' || foreignAddresses.has(from) || foreignAddresses.size >= maxNamedPeers) return;
    foreignAddresses.add(from);
    log.change('dropped a frame of another fleet', { address: from });
  };

  const handle = (event: GossipEvent): void => {
    const step = stepGossip(view, event);
    view = step.view;
    step.effects.forEach(runEffect);
  };

  counters.gauge('list.version', () => view.list?.version ?? 0);
  links.events.on('badFrame', () => counters.count('frames.bad'));
  links.events.on('dropped', countDropped);
  links.events.on('frame', (from, frame) => {
    switch (frame.type) {
      case 'control':
        events.emit('control', from, frame);
        return;
      case 'request':
        events.emit('request', from, frame);
        return;
      case 'work':
        events.emit('work', frame);
        return;
      case 'reply':
        events.emit('reply', from, frame);
        return;
      case 'server-failure':
        events.emit('serverFailure', frame);
        return;
      case 'server-load':
        events.emit('serverLoad', frame);
        return;
      case 'quota-request':
        events.emit('quotaRequest', from, frame);
        return;
      case 'quota-reply':
        events.emit('quotaReply', from, frame);
        return;
      case 'digest':
      case 'inquire':
      case 'setup':
      case 'setup-delta':
      case 'list':
        handle({ type: 'frame', at: clock.now(), from, frame });
    }
  });

  return {
    events,
    view: () => view,
    platformUs: () => {
      if (view.platform === undefined) return 0;
      const nowUs = clock.now();
      return lowerBoundAt(view.platform, nowUs < view.atUs + maxClockStepUs ? nowUs : view.atUs);
    },
    start: async () => {
      await links.listen();
      stopTicks = callEvery(clock, tickUs, () => handle({ type: 'tick', at: clock.now() }));
    },
    offerSetup: (record) => handle({ type: 'setup', at: clock.now(), record }),
    offerList: (list) => handle({ type: 'list', at: clock.now(), list }),
    reseed: (newSeeds) => handle({ type: 'seeds', at: clock.now(), seeds: newSeeds }),
    offerReading: (reading, begunAt) => handle({ type: 'reading', at: clock.now(), begunAt, reading }),
    refresh: () => handle({ type: 'refresh', at: clock.now() }),
    send: (address, frame) => links.send(address, frame),
    close: () => {
      stopTicks();
      links.close();
    },
  };
};
