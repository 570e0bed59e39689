import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { Dial } from '../link/dial.js';
import type { ServerLink } from '../link/server-link.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';

/** Passive health checks: derives the reachability of servers from failures of exchanges. Dials a server only after a failure. */
export type PassiveHealthCheck = {
  /** Checks these servers and no others from now on. */
  readonly setServers: (servers: readonly ListedServer[]) => void;
  /** Reports a failed exchange: dials the server once to find out whether it is reachable. */
  readonly suspect: (key: ServerKey) => void;
  /** Reports a failed dial: the server is unreachable until a later dial succeeds. */
  readonly reportDialFailure: (key: ServerKey) => void;
  readonly close: () => void;
};

export const minRedialDelayUs: Micros = 500_000;
export const maxRedialDelayUs: Micros = 2_000_000;

/**
 * Calls `notify` on each change of a server's reachability. Unreachable servers are dialed with exponential backoff; the
 * link of a successful dial is passed to `keepLink`.
 */
export const openPassiveHealthCheck = (
  dial: Dial,
  clock: Clock,
  notify: (key: ServerKey, isReachable: boolean) => void,
  keepLink: (link: ServerLink) => void,
): PassiveHealthCheck => {
  const watched = new Map<ServerKey, ListedServer>();
  const redials = new Map<ServerKey, () => void>();
  const dialing = new Set<ServerKey>();

  const markUnreachable = (key: ServerKey, afterUs: Micros): void => {
    if (!watched.has(key)) return;
    const isNew = !redials.has(key);
    redials.get(key)?.();
    redials.set(
      key,
      clock.after(afterUs, () => void redial(key, Math.min(maxRedialDelayUs, afterUs * 2))),
    );
    if (isNew) notify(key, false);
  };

  const markReachable = (key: ServerKey): void => {
    const cancelRedial = redials.get(key);
    if (cancelRedial === undefined) return;
    cancelRedial();
    redials.delete(key);
    notify(key, true);
  };

  const redial = async (key: ServerKey, nextUs: Micros): Promise<void> => {
    const server = watched.get(key);
    if (server === undefined || dialing.has(key)) return;
    dialing.add(key);
    const opened = await dial(server);
    dialing.delete(key);
    opened
      .ifRight((link) => {
        if (watched.has(key)) {
          markReachable(key);
          keepLink(link);
        } else link.close();
      })
      .ifLeft(() => markUnreachable(key, nextUs));
  };

  return {
    setServers: (servers) => {
      const listed = new Map(servers.map((server) => [serverKeyOf(server), server]));
      for (const key of [...watched.keys()]) {
        if (listed.has(key)) continue;
        redials.get(key)?.();
        redials.delete(key);
        watched.delete(key);
      }
      for (const [key, server] of listed) watched.set(key, server);
    },
    suspect: (key) => {
      if (!redials.has(key)) void redial(key, minRedialDelayUs);
    },
    reportDialFailure: (key) => {
      if (!redials.has(key)) markUnreachable(key, minRedialDelayUs);
    },
    close: () => {
      for (const cancelRedial of redials.values()) cancelRedial();
      redials.clear();
      watched.clear();
    },
  };
};
