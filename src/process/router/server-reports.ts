import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import { isSaturated, type ServerLoad } from '../../decision/health/server-load.js';
import type { FailureCause } from '../../decision/health/server-failures.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Frame } from '../../spread/frame/frame.js';
import type { Counters } from '../counters.js';
import type { GossipTask } from '../gossip-task.js';

/** Sends this router's observations of servers to the other routers of the fleet. */
export type ServerReports = {
  /** Reports `tokens` of prefill sent to a server; `busyUs` is the estimated time until the server is free again. */
  readonly work: (server: ServerKey, service: string, tokens: number, busyUs: Micros) => void;
  /** Reports a failed attempt at a server; rate-limited per server. */
  readonly failure: (server: ServerKey, cause: FailureCause) => void;
  /** Reports the load that a server returned, if the server is saturated; rate-limited per server. */
  readonly load: (server: ServerKey, load: ServerLoad) => void;
  /** Notes that another router has reported the load of a server, which suppresses own reports for the same interval. */
  readonly noteLoadReport: (server: ServerKey) => void;
};

/** Shorter work is not reported: it would mostly be finished before the report arrives. */
const minReportedBusyUs: Micros = 100_000;
/** Limits the fan-out of one report. */
const maxReportedRouters = 100;
/** The minimum interval between reports by one router of failures of the same server. */
const failureReportIntervalUs: Micros = 400_000;
/** The minimum interval between reports of the load of the same server by any router. */
const loadReportIntervalUs: Micros = 300_000;

/** Opens the reports of one router. */
export const openServerReports = (
  spread: Pick<GossipTask, 'view' | 'send'>,
  clock: Clock,
  counters: Counters,
): ServerReports => {
  const failureReportedUs = new Map<ServerKey, Micros>();
  const loadReportedUs = new Map<ServerKey, Micros>();

  const routers = () => [...spread.view().partners.values()].filter(({ partner }) => partner.role === 'router');

  const broadcast = (frame: Frame): void => {
    for (const { partner } of routers().slice(0, maxReportedRouters)) spread.send(partner.address, frame);
  };

  /** Whether the interval since the last report of a server has passed; if so, records a report at the current time. */
  const recordIfDue = (reportedUs: Map<ServerKey, Micros>, server: ServerKey, intervalUs: Micros): boolean => {
    const nowUs = clock.now();
    if (nowUs - (reportedUs.get(server) ?? Number.NEGATIVE_INFINITY) < intervalUs) return false;
    reportedUs.set(server, nowUs);
    return true;
  };

  return {
    work: (server, service, tokens, busyUs) => {
      if (tokens === 0 || busyUs < minReportedBusyUs) return;
      counters.count('work.told');
      broadcast({ type: 'work', server, service, tokens });
    },
    failure: (server, cause) => {
      if (!recordIfDue(failureReportedUs, server, failureReportIntervalUs)) return;
      counters.count('failures.told');
      broadcast({ type: 'server-failure', server, cause });
    },
    load: (server, load) => {
      if (!isSaturated(load) || !recordIfDue(loadReportedUs, server, loadReportIntervalUs)) return;
      counters.count('loads.told');
      broadcast({ type: 'server-load', server, ...load });
    },
    noteLoadReport: (server) => void loadReportedUs.set(server, clock.now()),
  };
};
