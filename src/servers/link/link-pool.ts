import { Right, type Either } from 'purify-ts';
import type { TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';
import type { Dial } from './dial.js';
import type { ServerLink } from './server-link.js';

/** Pool of open links to the listed servers. A link carries one exchange at a time. */
export type LinkPool = {
  /** Returns an idle link, or dials the server if there is none. */
  readonly acquire: (server: ListedServer) => Promise<Either<TypedError, ServerLink>>;
  /** Adds a link that was opened outside of the pool to the idle ones. */
  readonly keep: (link: ServerLink) => void;
  /** Returns an acquired link. The link is closed if enough links to its server are idle. */
  readonly release: (link: ServerLink) => void;
  /** Closes every link to a server, including those in use. */
  readonly cut: (key: ServerKey) => void;
  /** Closes the idle links to all servers other than these. */
  readonly retainOnly: (keys: ReadonlySet<ServerKey>) => void;
  readonly close: () => void;
  /** Number of open links, idle or in use. */
  readonly size: () => number;
};

const maxIdlePerServer = 32;

export const openLinkPool = (dial: Dial): LinkPool => {
  const idleLinks = new Map<ServerKey, ServerLink[]>();
  const allLinks = new Set<ServerLink>();
  const discard = (link: ServerLink): void => {
    link.close();
    allLinks.delete(link);
  };
  const returnToIdle = (link: ServerLink): void => {
    const idle = idleLinks.get(link.key) ?? [];
    if (!link.isOpen() || idle.length >= maxIdlePerServer) {
      discard(link);
      return;
    }
    idle.push(link);
    idleLinks.set(link.key, idle);
  };
  return {
    acquire: async (server) => {
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
      returnToIdle(link);
    },
    release: returnToIdle,
    cut: (key) => {
      for (const link of allLinks) if (link.key === key) discard(link);
      idleLinks.delete(key);
    },
    retainOnly: (keys) => {
      for (const [key, idle] of idleLinks) {
        if (keys.has(key)) continue;
        idle.forEach(discard);
        idleLinks.delete(key);
      }
    },
    close: () => {
      allLinks.forEach(discard);
      idleLinks.clear();
    },
    size: () => allLinks.size,
  };
};
