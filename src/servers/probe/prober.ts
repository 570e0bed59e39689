import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { Dial } from '../link/dial.js';
import type { ServerLink } from '../link/server-link.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';

/** Asks every listed server now and then whether it is still itself. */
export type Prober = {
  readonly watch: (servers: readonly ListedServer[]) => void;
  readonly close: () => void;
};

const probeSpanUs: Micros = 500_000;
const missesUntilDark = 3;

/** `tell` hears of each change: true when a server answers as itself, false when it went dark. */
export const openProber = (dial: Dial, clock: Clock, tell: (key: ServerKey, isLight: boolean) => void): Prober => {
  const watched = new Map<ServerKey, () => void>();
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

  const redial = async (server: ListedServer): Promise<void> => {
    const key = serverKeyOf(server);
    const opened = await dial(server);
    opened
      .ifRight((link) => {
        if (watched.has(key)) links.set(key, link);
        else link.close();
        settle(key, true, true);
      })
      .ifLeft((error) => settle(key, false, error.type === 'bad-message' || error.type === 'link-refused'));
  };

  const probe = async (server: ListedServer): Promise<void> => {
    const key = serverKeyOf(server);
    const knownLink = links.get(key);
    if (knownLink === undefined || !knownLink.isOpen()) return redial(server);
    if (await knownLink.confirm()) return settle(key, true, false);
    knownLink.close();
    links.delete(key);
    settle(key, false, false);
  };

  const plan = (server: ListedServer, afterUs: Micros): void => {
    const takeBack = clock.after(afterUs, () => {
      void probe(server).finally(() => {
        if (watched.has(serverKeyOf(server))) plan(server, probeSpanUs);
      });
    });
    watched.set(serverKeyOf(server), takeBack);
  };

  const forget = (key: ServerKey): void => {
    watched.get(key)?.();
    watched.delete(key);
    links.get(key)?.close();
    links.delete(key);
    misses.delete(key);
    lights.delete(key);
  };

  return {
    watch: (servers) => {
      const keys = new Set(servers.map(serverKeyOf));
      for (const key of [...watched.keys()]) if (!keys.has(key)) forget(key);
      servers
        .filter((server) => !watched.has(serverKeyOf(server)))
        .forEach((server, index) => plan(server, (index * probeSpanUs) / Math.max(1, servers.length)));
    },
    close: () => [...watched.keys()].forEach(forget),
  };
};
