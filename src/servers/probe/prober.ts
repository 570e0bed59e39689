import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { Dial } from '../link/dial.js';
import type { ServerLink } from '../link/server-link.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';

/** Active health checks: probes every listed server periodically on a link of its own. */
export type Prober = {
  /** Probes these servers and no others from now on. */
  readonly setServers: (servers: readonly ListedServer[]) => void;
  readonly close: () => void;
};

const probeIntervalUs: Micros = 500_000;
const unreachableAfterMisses = 3;

/**
 * Calls `notify` on each change of a server's reachability. A server is unreachable after several failed probes in a row,
 * or at once if it refuses connections or another server answers at its address.
 */
export const openProber = (
  dial: Dial,
  clock: Clock,
  notify: (key: ServerKey, isReachable: boolean) => void,
): Prober => {
  const watched = new Map<ServerKey, () => void>();
  const links = new Map<ServerKey, ServerLink>();
  const misses = new Map<ServerKey, number>();
  const reachability = new Map<ServerKey, boolean>();

  const recordResult = (key: ServerKey, isReachable: boolean, isConclusive: boolean): void => {
    if (!watched.has(key)) return;
    const missCount = isReachable ? 0 : (misses.get(key) ?? 0) + 1;
    misses.set(key, missCount);
    if (!isReachable && !isConclusive && missCount < unreachableAfterMisses) return;
    if (reachability.get(key) === isReachable) return;
    reachability.set(key, isReachable);
    notify(key, isReachable);
  };

  const redial = async (server: ListedServer): Promise<void> => {
    const key = serverKeyOf(server);
    const opened = await dial(server);
    opened
      .ifRight((link) => {
        if (watched.has(key)) links.set(key, link);
        else link.close();
        recordResult(key, true, true);
      })
      .ifLeft((error) => recordResult(key, false, error.type === 'bad-message' || error.type === 'link-refused'));
  };

  const probe = async (server: ListedServer): Promise<void> => {
    const key = serverKeyOf(server);
    const link = links.get(key);
    if (link === undefined || !link.isOpen()) return redial(server);
    if (await link.probe()) return recordResult(key, true, false);
    link.close();
    links.delete(key);
    recordResult(key, false, false);
  };

  const scheduleProbe = (server: ListedServer, afterUs: Micros): void => {
    const cancelProbe = clock.after(afterUs, () => {
      void probe(server).finally(() => {
        if (watched.has(serverKeyOf(server))) scheduleProbe(server, probeIntervalUs);
      });
    });
    watched.set(serverKeyOf(server), cancelProbe);
  };

  const stopProbing = (key: ServerKey): void => {
    watched.get(key)?.();
    watched.delete(key);
    links.get(key)?.close();
    links.delete(key);
    misses.delete(key);
    reachability.delete(key);
  };

  return {
    setServers: (servers) => {
      const keys = new Set(servers.map(serverKeyOf));
      for (const key of [...watched.keys()]) if (!keys.has(key)) stopProbing(key);
      servers
        .filter((server) => !watched.has(serverKeyOf(server)))
        .forEach((server, index) => scheduleProbe(server, (index * probeIntervalUs) / Math.max(1, servers.length)));
    },
    close: () => [...watched.keys()].forEach(stopProbing),
  };
};
