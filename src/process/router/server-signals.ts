import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { FailureCause } from '../../decision/health/server-failures.js';
import type { ServerLoad } from '../../decision/health/server-load.js';
import type { DecisionEvent } from '../../decision/machine/event/decision-event.js';
import type { Dial } from '../../servers/link/dial.js';
import type { LinkPool } from '../../servers/link/link-pool.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import { openProber } from '../../servers/probe/prober.js';
import { openPassiveHealthCheck } from '../../servers/watch/passive-health-check.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import type { GossipTask } from '../gossip-task.js';
import { openServerReports } from './server-reports.js';

/**
 * Collects health and load signals of servers: probes, failed attempts, reported loads and reports of other routers. Each goes
 * to the decision machine, and own observations also to the other routers.
 */
export type ServerSignals = {
  /** Replaces the set of servers that are probed. */
  readonly setServers: (servers: readonly ListedServer[]) => void;
  /** Reports a failed connection attempt to a server. */
  readonly unreachable: (server: ServerKey) => void;
  /** Reports a connection that was lost during an exchange; the passive watch, if used, then checks whether the server is reachable. */
  readonly suspect: (server: ServerKey) => void;
  /** Reports an attempt that failed after it was sent. */
  readonly reportFailure: (server: ServerKey) => void;
  /** Reports the load that a server returned with a response. */
  readonly load: (server: ServerKey, load: ServerLoad) => void;
  /** Reports `tokens` of prefill sent to a server, and the estimated time until it is free again. */
  readonly work: (server: ServerKey, service: string, tokens: number, busyUs: Micros) => void;
  readonly close: () => void;
};

export type ServerSignalsDependencies = {
  readonly spread: GossipTask;
  readonly clock: Clock;
  readonly dial: Dial;
  /** Whether servers are not probed, but watched passively through their connections. */
  readonly probesNothing: boolean;
  readonly pool: LinkPool;
  readonly log: Log;
  readonly counters: Counters;
  /** Delivers an event to the decision machine. */
  readonly dispatch: (event: DecisionEvent) => void;
};

/** Opens the signals of one router, from its own prober or passive watch and from the reports of the other routers. */
export const openServerSignals = (parts: ServerSignalsDependencies): ServerSignals => {
  const { spread, clock, dial, probesNothing, pool, log, counters, dispatch: take } = parts;
  const reports = openServerReports(spread, clock, counters);

  const onReachabilityChange = (server: ServerKey, isReachable: boolean): void => {
    log.change(isReachable ? 'server reachable' : 'server unreachable', { server });
    if (!isReachable && !probesNothing) pool.cut(server);
    take({ type: isReachable ? 'light' : 'dark', at: clock.now(), server });
  };
  const passive = probesNothing
    ? openPassiveHealthCheck(dial, clock, onReachabilityChange, (link) => pool.keep(link))
    : undefined;
  const prober = passive ?? openProber(dial, clock, onReachabilityChange);

  const reportFailure = (server: ServerKey, cause: FailureCause): void => {
    take({ type: 'failure', at: clock.now(), server, cause });
    reports.failure(server, cause);
  };

  spread.events.on('serverFailure', ({ server, cause }) => take({ type: 'failure', at: clock.now(), server, cause }));
  spread.events.on('serverLoad', ({ server, running, waiting, slots }) => {
    reports.noteLoadReport(server);
    take({ type: 'load', at: clock.now(), server, running, waiting, slots });
  });
  spread.events.on('work', ({ server, service, tokens }) =>
    take({ type: 'work', at: clock.now(), server, service, tokens }),
  );

  return {
    setServers: prober.setServers,
    unreachable: (server) => {
      passive?.reportDialFailure(server);
      reportFailure(server, 'unreachable');
    },
    suspect: (server) => passive?.suspect(server),
    reportFailure: (server) => reportFailure(server, 'failed'),
    load: (server, load) => {
      take({ type: 'load', at: clock.now(), server, ...load });
      reports.load(server, load);
    },
    work: reports.work,
    close: prober.close,
  };
};
