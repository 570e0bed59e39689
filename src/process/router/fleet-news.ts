import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import { isSaturated, type ServerLoad } from '../../decision/health/server-load.js';
import type { FailureCause } from '../../decision/health/server-failures.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Frame } from '../../spread/frame/frame.js';
import type { Counters } from '../counters.js';
import type { SpreadTask } from '../spread-task.js';

/** What a router tells the other routers of servers, as far as that helps them. */
export type FleetNews = {
  /** A server was given so many tokens to read, and is then busy for so long, as far as is known here. */
  readonly work: (server: ServerKey, service: string, tokens: number, busyUs: Micros) => void;
  readonly failure: (server: ServerKey, cause: FailureCause) => void;
  /** A server has told its load here. */
  readonly load: (server: ServerKey, load: ServerLoad) => void;
  /** Another router has told a load: it need not be told again soon. */
  readonly heardLoad: (server: ServerKey) => void;
};

/** Work that leaves its server free again sooner than this is not told of: word of it would hardly come before its end. */
const leastToldBusyUs: Micros = 100_000;
const mostTold = 100;
/** One router tells of failures of one server no more often than this. */
const failureSpanUs: Micros = 400_000;
/** Crowded servers are told of no more often than this, whoever has told it last. */
const loadSpanUs: Micros = 300_000;

/** Opens the news of one router. */
export const openFleetNews = (
  spread: Pick<SpreadTask, 'view' | 'send'>,
  clock: Clock,
  counters: Counters,
): FleetNews => {
  const toldFailures = new Map<ServerKey, Micros>();
  const toldLoads = new Map<ServerKey, Micros>();

  const routers = () => [...spread.view().partners.values()].filter(({ partner }) => partner.role === 'router');

  const tell = (frame: Frame): void => {
    for (const { partner } of routers().slice(0, mostTold)) spread.send(partner.address, frame);
  };

  /** Whether a span has passed since a server was last told of; notes that it is told of now. */
  const isDue = (told: Map<ServerKey, Micros>, server: ServerKey, span: Micros): boolean => {
    const nowUs = clock.now();
    if (nowUs - (told.get(server) ?? Number.NEGATIVE_INFINITY) < span) return false;
    told.set(server, nowUs);
    return true;
  };

  return {
    work: (server, service, tokens, busyUs) => {
      if (tokens === 0 || busyUs < leastToldBusyUs) return;
      counters.count('work.told');
      tell({ type: 'work', server, service, tokens });
    },
    failure: (server, cause) => {
      if (!isDue(toldFailures, server, failureSpanUs)) return;
      counters.count('failures.told');
      tell({ type: 'server-failure', server, cause });
    },
    load: (server, load) => {
      if (!isSaturated(load) || !isDue(toldLoads, server, loadSpanUs)) return;
      counters.count('loads.told');
      tell({ type: 'server-load', server, ...load });
    },
    heardLoad: (server) => void toldLoads.set(server, clock.now()),
  };
};
