import { EventEmitter } from 'node:events';
import { steadyNow, type Micros } from '../common/micros.js';
import type { ServerList } from '../servers/list/server-list.js';
import type { SetupRecord } from '../setup/document/setup-record.js';
import type { Frame } from '../spread/frame/frame.js';
import { openPartnerLinks } from '../spread/link/partner-links.js';
import type { SpreadEffect } from '../spread/machine/spread-effect.js';
import type { SpreadEvent } from '../spread/machine/spread-event.js';
import { startSpreadView, type SpreadView } from '../spread/machine/spread-view.js';
import { stepSpread } from '../spread/machine/step.js';
import type { Partner } from '../spread/partner/partner.js';
import type { Counters } from './counters.js';
import type { Log } from './log.js';
import type { SpreadTaskEvents } from './spread-task-events.js';

/** The task that owns the partner links and what is spread over them. */
export type SpreadTask = {
  readonly events: EventEmitter<SpreadTaskEvents>;
  readonly view: () => SpreadView;
  /** The platform's time as far as it is certain; 0 while none is known. */
  readonly platformUs: () => Micros;
  readonly start: () => Promise<void>;
  readonly offerSetup: (record: SetupRecord) => void;
  readonly offerList: (list: ServerList) => void;
  readonly refresh: () => void;
  readonly send: (address: string, frame: Frame) => void;
  readonly close: () => void;
};

const tickMillis = 50;

export const openSpreadTask = (
  self: Partner,
  seeds: readonly string[],
  log: Log,
  counters: Counters,
  listenAddress?: string,
): SpreadTask => {
  const links = openPartnerLinks(self.address, listenAddress);
  const events = new EventEmitter<SpreadTaskEvents>();
  let view = startSpreadView(self, seeds);
  let tickTimer: NodeJS.Timeout | undefined;

  const carryOut = (effect: SpreadEffect): void => {
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
      case 'time':
        events.emit('time', effect.platformUs);
        return;
      case 'partners':
        log.change('partners known', { nodes: effect.partners.map((partner) => partner.node).sort() });
        return;
      case 'isolated':
        log.change(effect.isolated ? 'isolated' : 'among partners', {});
        return;
      case 'refreshed':
        events.emit('refreshed');
        return;
    }
  };

  const take = (event: SpreadEvent): void => {
    const step = stepSpread(view, event);
    view = step.view;
    step.effects.forEach(carryOut);
  };

  links.events.on('badFrame', () => counters.count('frames.bad'));
  links.events.on('frame', (from, frame) => {
    switch (frame.type) {
      case 'control':
        events.emit('control', from, frame);
        return;
      case 'ask':
        events.emit('ask', from, frame);
        return;
      case 'answer':
        events.emit('answer', frame);
        return;
      case 'digest':
      case 'inquire':
      case 'setup':
      case 'list':
        take({ type: 'frame', at: steadyNow(), from, frame });
    }
  });

  return {
    events,
    view: () => view,
    platformUs: () => (view.offsetUs === undefined ? 0 : Math.max(0, steadyNow() + view.offsetUs)),
    start: async () => {
      await links.listen();
      tickTimer = setInterval(() => take({ type: 'tick', at: steadyNow() }), tickMillis);
    },
    offerSetup: (record) => take({ type: 'setup', at: steadyNow(), record }),
    offerList: (list) => take({ type: 'list', at: steadyNow(), list }),
    refresh: () => take({ type: 'refresh', at: steadyNow() }),
    send: (address, frame) => links.send(address, frame),
    close: () => {
      clearInterval(tickTimer);
      links.close();
    },
  };
};
