import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { Dial } from '../link/dial.js';
import type { ServerLink } from '../link/server-link.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';

/** Learns from the fleet's own exchanges whether servers can be reached; it dials only where something went wrong. */
export type PassiveWatch = {
  readonly watch: (servers: readonly ListedServer[]) => void;
  /** Something went wrong with a server: whether it can still be reached is found out by one dial. */
  readonly suspect: (key: ServerKey) => void;
  /** No link to a server could be had. */
  readonly missed: (key: ServerKey) => void;
  readonly close: () => void;
};

export const leastRedialUs: Micros = 500_000;
export const mostRedialUs: Micros = 2_000_000;

export const openPassiveWatch = (
  dial: Dial,
  clock: Clock,
  tell: (key: ServerKey, isLight: boolean) => void,
  keep: (link: ServerLink) => void,
): PassiveWatch => {
  const watched = new Map<ServerKey, ListedServer>();
  const dark = new Map<ServerKey, () => void>();
  const asked = new Set<ServerKey>();

  const darken = (key: ServerKey, afterUs: Micros): void => {
    if (!watched.has(key)) return;
    const isNew = !dark.has(key);
    dark.get(key)?.();
    dark.set(
      key,
      clock.after(afterUs, () => void redial(key, Math.min(mostRedialUs, afterUs * 2))),
    );
    if (isNew) tell(key, false);
  };

  const lighten = (key: ServerKey): void => {
    const takeBack = dark.get(key);
    if (takeBack === undefined) return;
    takeBack();
    dark.delete(key);
    tell(key, true);
  };

  const redial = async (key: ServerKey, nextUs: Micros): Promise<void> => {
    const server = watched.get(key);
    if (server === undefined || asked.has(key)) return;
    asked.add(key);
    const opened = await dial(server);
    asked.delete(key);
    opened
      .ifRight((link) => {
        if (watched.has(key)) {
          lighten(key);
          keep(link);
        } else link.close();
      })
      .ifLeft(() => darken(key, nextUs));
  };

  return {
    watch: (servers) => {
      const listed = new Map(servers.map((server) => [serverKeyOf(server), server]));
      for (const key of [...watched.keys()]) {
        if (listed.has(key)) continue;
        dark.get(key)?.();
        dark.delete(key);
        watched.delete(key);
      }
      for (const [key, server] of listed) watched.set(key, server);
    },
    suspect: (key) => {
      if (!dark.has(key)) void redial(key, leastRedialUs);
    },
    missed: (key) => {
      if (!dark.has(key)) darken(key, leastRedialUs);
    },
    close: () => {
      for (const takeBack of dark.values()) takeBack();
      dark.clear();
      watched.clear();
    },
  };
};
