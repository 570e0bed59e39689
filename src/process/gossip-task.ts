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

/** The task that owns the partner links and what is spread over them. */
export type GossipTask = {
  readonly events: EventEmitter<GossipTaskEvents>;
  readonly view: () => GossipView;
  /** The platform's time as far as it is certain; 0 while none is known. */
  readonly platformUs: () => Micros;
  readonly start: () => Promise<void>;
  readonly offerSetup: (record: SetupRecord) => void;
  readonly offerList: (list: ServerList) => void;
  /** Takes a reading of the platform's list that was asked for at a moment of the steady clock. */
  readonly offerReading: (reading: ListReading, begunAt: Micros) => void;
  readonly refresh: () => void;
  /** Takes other seeds, as its settings now name them. */
  readonly reseed: (seeds: readonly string[]) => void;
  readonly send: (address: string, frame: Frame) => void;
  readonly close: () => void;
};

/** The beat of a fleet of few is a whole number of these. */
const tickUs: Micros = 100_000;
/** More partners than this are counted in the log, and not named. */
const mostNamed = 16;
/** Their count is logged at most once in so long. */
const partnersToldSpanUs: Micros = 1_000_000;

const counterOf: Readonly<Record<DropCause, string>> = {
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
  let endTicks = (): void => undefined;
  let partnersToldUs = Number.NEGATIVE_INFINITY;
  const foreignAddresses = new Set<string>();

  /** Many partners become known one by one when a large fleet begins; their count is logged once in a while. */
  const tellPartners = (): void => {
    const { size } = view.partners;
    if (size <= mostNamed) {
      log.change('partners known', { nodes: [...view.partners.values()].map(({ partner }) => partner.node).sort() });
      return;
    }
    const nowUs = clock.now();
    if (nowUs < partnersToldUs + partnersToldSpanUs) return;
    partnersToldUs = nowUs;
    log.change('partners known', { count: size });
  };

  const carryOut = (effect: GossipEffect): void => {
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
        tellPartners();
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

  /** Counts each frame that was not taken; the log names each sender of another fleet once. */
  const countDropped = (cause: DropCause, from: string): void => {
    counters.count(counterOf[cause]);
    if (cause !== 'other-fleet' || foreignAddresses.has(from) || foreignAddresses.size >= mostNamed) return;
    foreignAddresses.add(from);
    log.change('another fleet was heard', { address: from });
  };

  const take = (event: GossipEvent): void => {
    const step = stepGossip(view, event);
    view = step.view;
    step.effects.forEach(carryOut);
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
        take({ type: 'frame', at: clock.now(), from, frame });
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
      endTicks = callEvery(clock, tickUs, () => take({ type: 'tick', at: clock.now() }));
    },
    offerSetup: (record) => take({ type: 'setup', at: clock.now(), record }),
    offerList: (list) => take({ type: 'list', at: clock.now(), list }),
    reseed: (newSeeds) => take({ type: 'seeds', at: clock.now(), seeds: newSeeds }),
    offerReading: (reading, begunAt) => take({ type: 'reading', at: clock.now(), begunAt, reading }),
    refresh: () => take({ type: 'refresh', at: clock.now() }),
    send: (address, frame) => links.send(address, frame),
    close: () => {
      endTicks();
      links.close();
    },
  };
};
