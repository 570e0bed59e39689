import type { ListedServer } from '../../servers/list/listed-server.js';
import type { Deployment } from '../deployment/deployment.js';
import type { History } from '../history/history.js';
import { freePorts } from '../launcher/free-ports.js';
import { openStandInServer, type ServerFigures } from '../stand-in/open-server.js';
import type { Platform } from '../stand-in/platform.js';
import type { StandInServer } from '../stand-in/stand-in-server.js';

/** Starts and ends back ends, and shows the platform's list accordingly. */
export type ServerPool = {
  readonly servers: () => readonly StandInServer[];
  readonly open: (count: number, type: 'model' | 'web') => Promise<readonly StandInServer[]>;
  readonly leave: (id: string) => void;
  readonly remove: (id: string) => void;
  /** Starts a crashed server again: the same id, a new incarnation, a new address. */
  readonly comeBack: (id: string) => Promise<void>;
  /** Starts a server of another service, that no list names, at a former address. */
  readonly usurp: (address: string) => Promise<void>;
};

const localities = ['a', 'b', 'c'] as const;

export const openServerPool = (
  deployment: Deployment,
  platform: Platform,
  history: History,
  figures: ServerFigures,
): ServerPool => {
  const running = new Map<string, StandInServer>();
  let count = 0;

  const usurpers: StandInServer[] = [];

  const openOne = async (type: 'model' | 'web', id?: string): Promise<StandInServer> => {
    count += 1;
    const [port] = await freePorts(1);
    const listed: ListedServer = {
      id: id ?? `${type}-${count}`,
      incarnation: `i${count}`,
      service: type === 'model' ? deployment.modelService : deployment.webService,
      address: `127.0.0.1:${port}`,
      locality: localities[count % localities.length] ?? 'a',
      listedAtUs: platform.now(),
      state: 'up',
      ...(type === 'model' ? { weights: 'w1' } : {}),
    };
    const server = await openStandInServer(listed, type, history, figures);
    running.set(listed.id, server);
    return server;
  };

  return {
    servers: () => [...running.values(), ...usurpers],
    open: async (wanted, type) => {
      const opened: StandInServer[] = [];
      for (let index = 0; index < wanted; index += 1) opened.push(await openOne(type));
      const listedAtUs = platform.now();
      platform.show([...platform.list().servers, ...opened.map((server) => ({ ...server.listed, listedAtUs }))]);
      return opened;
    },
    comeBack: async (id) => {
      const server = await openOne('model', id);
      const listed = { ...server.listed, listedAtUs: platform.now() };
      platform.show(platform.list().servers.map((known) => (known.id === id ? listed : known)));
    },
    usurp: async (address) => {
      const listed: ListedServer = {
        id: 'usurper',
        incarnation: 'u1',
        service: 'ledger',
        address,
        locality: 'a',
        listedAtUs: platform.now(),
        state: 'up',
      };
      usurpers.push(await openStandInServer(listed, 'model', history, figures));
    },
    leave: (id) =>
      platform.show(
        platform
          .list()
          .servers.map((server) =>
            server.id === id ? { ...server, state: 'leaving', leavingAtUs: platform.now() } : server,
          ),
      ),
    remove: (id) => {
      platform.show(platform.list().servers.filter((server) => server.id !== id));
      const removed = running.get(id);
      if (removed !== undefined) removed.crash();
      running.delete(id);
    },
  };
};
