import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';
import { openServerLink } from '../link/open-link.js';
import type { ServerLink } from '../link/server-link.js';

/** Asks every listed server now and then whether it is still itself. */
export type Prober = {
  readonly watch: (servers: readonly ListedServer[]) => void;
  readonly close: () => void;
};

const probeMillis = 500;
const probeBudgetMillis = 1_000;
const missesUntilDark = 3;

/** `tell` hears of each change: true when a server answers as itself, false when it went dark. */
export const openProber = (tell: (key: ServerKey, isLight: boolean) => void): Prober => {
  const watched = new Map<ServerKey, { readonly server: ListedServer; readonly timer: NodeJS.Timeout }>();
  const links = new Map<ServerKey, ServerLink>();
  const misses = new Map<ServerKey, number>();
  const lights = new Map<ServerKey, boolean>();

  const settle = (key: ServerKey, isLight: boolean, atOnce: boolean): void => {
    if (!watched.has(key)) return;
    const missCount = isLight ? 0 : (misses.get(key) ?? 0) + 1;
    misses.set(key, missCount);
    if (!isLight && !atOnce && missCount < missesUntilDark) return;
    if (lights.get(key) === isLight) return;
    lights.set(key, isLight);
    tell(key, isLight);
  };

  const probe = async (server: ListedServer): Promise<void> => {
    const key = serverKeyOf(server);
    const knownLink = links.get(key);
    if (knownLink === undefined || !knownLink.isOpen()) {
      const opened = await openServerLink(server);
      opened
        .ifRight((link) => {
          if (watched.has(key)) links.set(key, link);
          else link.close();
          settle(key, true, true);
        })
        .ifLeft((error) => {
          links.delete(key);
          settle(key, false, error.type === 'bad-message' || error.message.includes('ECONNREFUSED'));
        });
      return;
    }
    try {
      const answer = await knownLink.client.request({
        method: 'GET',
        path: '/identity',
        signal: AbortSignal.timeout(probeBudgetMillis),
      });
      await answer.body.dump();
      settle(key, answer.statusCode === 200, false);
    } catch {
      knownLink.close();
      links.delete(key);
      settle(key, false, false);
    }
  };

  const plan = (server: ListedServer, afterMillis: number): void => {
    const timer = setTimeout(() => {
      void probe(server).finally(() => {
        if (watched.has(serverKeyOf(server))) plan(server, probeMillis);
      });
    }, afterMillis);
    watched.set(serverKeyOf(server), { server, timer });
  };

  return {
    watch: (servers) => {
      const keys = new Set(servers.map(serverKeyOf));
      for (const [key, { timer }] of watched) {
        if (keys.has(key)) continue;
        clearTimeout(timer);
        watched.delete(key);
        links.get(key)?.close();
        links.delete(key);
        misses.delete(key);
        lights.delete(key);
      }
      servers.filter((server) => !watched.has(serverKeyOf(server))).forEach((server, index) => plan(server, (index * probeMillis) / Math.max(1, servers.length)));
    },
    close: () => {
      for (const { timer } of watched.values()) clearTimeout(timer);
      watched.clear();
      for (const link of links.values()) link.close();
    },
  };
};
