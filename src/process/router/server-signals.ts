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
import type { SpreadTask } from '../spread-task.js';
import { openFleetNews } from './fleet-news.js';

/** All that a router learns of servers beside the answers themselves, and what it tells other routers of it. */
export type ServerSignals = {
  readonly watch: (servers: readonly ListedServer[]) => void;
  /** No connection to a server came up. */
  readonly unreachable: (server: ServerKey) => void;
  /** Its connection was lost under an exchange: whether it can still be reached is found out. */
  readonly suspect: (server: ServerKey) => void;
  /** A try that was sent to it broke. */
  readonly broke: (server: ServerKey) => void;
  readonly load: (server: ServerKey, load: ServerLoad) => void;
  /** It was given so many tokens to read, and is then busy for so long. */
  readonly work: (server: ServerKey, service: string, tokens: number, busyUs: Micros) => void;
  readonly close: () => void;
};

export type ServerSignalsParts = {
  readonly spread: SpreadTask;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly probesNothing: boolean;
  readonly pool: LinkPool;
  readonly log: Log;
  readonly counters: Counters;
  /** Tells the decision machine. */
  readonly take: (event: DecisionEvent) => void;
};

/** Opens the signals of one router: its own probes or passive watch, and the news of the other routers. */
export const openServerSignals = (parts: ServerSignalsParts): ServerSignals => {
  const { spread, clock, dial, probesNothing, pool, log, counters, take } = parts;
  const news = openFleetNews(spread, clock, counters);

  const tellLight = (server: ServerKey, isLight: boolean): void => {
    log.change(isLight ? 'server light' : 'server dark', { server });
    if (!isLight && !probesNothing) pool.cut(server);
    take({ type: isLight ? 'light' : 'dark', at: clock.now(), server });
  };
  const passive = probesNothing ? openPassiveHealthCheck(dial, clock, tellLight, (link) => pool.keep(link)) : undefined;
  const prober = passive ?? openProber(dial, clock, tellLight);

  const noteFailure = (server: ServerKey, cause: FailureCause): void => {
    take({ type: 'failure', at: clock.now(), server, cause });
    news.failure(server, cause);
  };

  spread.events.on('serverFailure', ({ server, cause }) => take({ type: 'failure', at: clock.now(), server, cause }));
  spread.events.on('serverLoad', ({ server, running, waiting, slots }) => {
    news.heardLoad(server);
    take({ type: 'load', at: clock.now(), server, running, waiting, slots });
  });
  spread.events.on('work', ({ server, service, tokens }) =>
    take({ type: 'work', at: clock.now(), server, service, tokens }),
  );

  return {
    watch: prober.setServers,
    unreachable: (server) => {
      passive?.reportDialFailure(server);
      noteFailure(server, 'unreachable');
    },
    suspect: (server) => passive?.suspect(server),
    broke: (server) => noteFailure(server, 'failed'),
    load: (server, load) => {
      take({ type: 'load', at: clock.now(), server, ...load });
      news.load(server, load);
    },
    work: news.work,
    close: prober.close,
  };
};
