import { Right, type Either } from 'purify-ts';
import type { TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';
import type { Dial } from './dial.js';
import type { ServerLink } from './server-link.js';

/** The open links to all listed servers. A link carries one exchange at a time. */
export type LinkPool = {
  readonly take: (server: ListedServer) => Promise<Either<TypedError, ServerLink>>;
  /** Takes a link that was opened elsewhere among the idle ones. */
  readonly keep: (link: ServerLink) => void;
  readonly giveBack: (link: ServerLink) => void;
  /** Ends every link to a server, those in use too. */
  readonly cut: (key: ServerKey) => void;
  /** Ends the idle links to servers that are no longer listed as they were. */
  readonly keepOnly: (keys: ReadonlySet<ServerKey>) => void;
  readonly close: () => void;
  readonly size: () => number;
};

const mostIdle = 32;

export const openLinkPool = (dial: Dial): LinkPool => {
  const idleLinks = new Map<ServerKey, ServerLink[]>();
  const allLinks = new Set<ServerLink>();
  const forget = (link: ServerLink): void => {
    link.close();
    allLinks.delete(link);
  };
  const giveBack = (link: ServerLink): void => {
    const idle = idleLinks.get(link.key) ?? [];
    if (!link.isOpen() || idle.length >= mostIdle) {
      forget(link);
      return;
    }
    idle.push(link);
    idleLinks.set(link.key, idle);
  };
  return {
    take: async (server) => {
      const idle = idleLinks.get(serverKeyOf(server)) ?? [];
      for (let link = idle.pop(); link !== undefined; link = idle.pop()) {
        if (link.isOpen()) return Right(link);
        allLinks.delete(link);
      }
      const opened = await dial(server);
      return opened.ifRight((link) => allLinks.add(link));
    },
    keep: (link) => {
      allLinks.add(link);
      giveBack(link);
    },
    giveBack,
    cut: (key) => {
      for (const link of allLinks) if (link.key === key) forget(link);
      idleLinks.delete(key);
    },
    keepOnly: (keys) => {
      for (const [key, idle] of idleLinks) {
        if (keys.has(key)) continue;
        idle.forEach(forget);
        idleLinks.delete(key);
      }
    },
    close: () => {
      allLinks.forEach(forget);
      idleLinks.clear();
    },
    size: () => allLinks.size,
  };
};
