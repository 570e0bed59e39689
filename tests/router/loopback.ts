import { Right } from 'purify-ts';
import { request } from 'undici';
import type { CoreReply } from '../../src/control/machine/core-reply.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { findProposalOutcome } from '../../src/control/state/setup-proposals.js';
import { emptyReplicatedState } from '../../src/control/state/replicated-state.js';
import type { CoreClient } from '../../src/process/core-client.js';
import { openRouterNode, type RouterNode } from '../../src/process/router/router-node.js';
import { serveRouter } from '../../src/process/router/serve-router.js';
import { realSurroundings } from '../../src/process/surroundings/real-surroundings.js';
import { openHistory, type History } from '../../src/rehearsal/history/history.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import { openStandInServer, usualFigures } from '../../src/rehearsal/stand-in/open-server.js';
import type { StandInServer } from '../../src/rehearsal/stand-in/stand-in-server.js';
import { monotonicNow } from '../../src/common/micros.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';

/** One router on loopback addresses, with stand-in servers and a core that is an in-memory state without replication. */
export type Loopback = {
  readonly http: string;
  readonly node: RouterNode;
  readonly history: History;
  readonly servers: readonly StandInServer[];
  /** Publishes a new server list to the router. */
  readonly publishList: (servers: readonly ListedServer[]) => void;
  /** Starts a further stand-in server; it gets exchanges only once it is listed. */
  readonly openServer: (listed: ListedServer, type: 'model' | 'web') => Promise<StandInServer>;
  /** Sends an exchange; a failed connection gives status 0 and `broken`. */
  readonly send: (body: unknown, headers?: Readonly<Record<string, string>>) => Promise<ExchangeResponse>;
  readonly close: () => void;
};

/** The response to an exchange; `broken` if its body did not arrive completely. */
export type ExchangeResponse = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly text: string;
  readonly broken: boolean;
};

const quietLog = { change: (): void => undefined };

/** A core that applies every command immediately. */
export const inMemoryCore = (): CoreClient => {
  let state = applyCommand(emptyReplicatedState, {
    type: 'setup',
    proposal: 'p',
    expected: 0,
    setup: sampleSetup('loopback'),
    atUs: 0,
  }).state;
  return {
    ask: (coreRequest) => {
      if (coreRequest.type === 'read') {
        const outcome =
          coreRequest.proposal === undefined ? undefined : findProposalOutcome(state, coreRequest.proposal);
        return Promise.resolve(Right<CoreReply>({ type: 'record', record: state.record, outcome }));
      }
      const applied = applyCommand(state, coreRequest.command);
      state = applied.state;
      return Promise.resolve(Right<CoreReply>({ type: 'applied', outcome: applied.outcome }));
    },
  };
};

/** The list entry of a server on the loopback interface. */
export const listedAt = (
  id: string,
  service: string,
  port: number,
  more: Partial<ListedServer> = {},
): ListedServer => ({
  id,
  incarnation: 'i1',
  service,
  address: `127.0.0.1:${port}`,
  locality: 'a',
  listedAtUs: 1,
  state: 'up',
  ...more,
});

const readAll = async (body: AsyncIterable<unknown>): Promise<{ readonly text: string; readonly broken: boolean }> => {
  let text = '';
  try {
    for await (const chunk of body) text += String(chunk);
    return { text, broken: false };
  } catch {
    return { text, broken: true };
  }
};

/** Starts a router with so many model and web servers, and lists them. `pieceUs` is the time between two pieces of a stream. */
export const openLoopback = async (models: number, webs: number, pieceUs = 1_000): Promise<Loopback> => {
  const history = openHistory();
  const [httpPort, partnerPort, ...serverPorts] = await freePorts(2 + models + webs);
  const http = `127.0.0.1:${httpPort}`;
  const partners = `127.0.0.1:${partnerPort}`;
  const node = openRouterNode({
    settings: { node: 'r1', locality: 'a', http, partners, seeds: [partners, partners, partners] },
    log: quietLog,
    surroundings: realSurroundings,
    openCore: inMemoryCore,
  });
  const httpServer = serveRouter(node, http);
  const figures = { ...usualFigures, prefillUsPerByte: 1, warmPrefillUs: 1_000, pieceUs };
  let version = 0;
  const show = (servers: readonly ListedServer[]): void => {
    version += 1;
    node.spread.offerList({ version, atUs: monotonicNow() + version, servers });
  };
  const open = (listed: ListedServer, type: 'model' | 'web'): Promise<StandInServer> =>
    openStandInServer(listed, type, history, figures);
  const servers = await Promise.all(
    serverPorts.map((port, index) =>
      index < models
        ? open(listedAt(`m${index}`, 'model', port), 'model')
        : open(listedAt(`w${index}`, 'status', port), 'web'),
    ),
  );
  await httpServer.listen();
  await node.start();
  show(servers.map((server) => server.listed));
  return {
    http,
    node,
    history,
    servers,
    publishList: show,
    openServer: open,
    send: async (body, headers = {}) => {
      try {
        const response = await request(`http://${http}/exchanges`, {
          method: 'POST',
          headers: { 'content-type': 'application/json', ...headers },
          body: typeof body === 'string' ? body : JSON.stringify(body),
        });
        response.body.setEncoding('utf8');
        return { status: response.statusCode, headers: response.headers, ...(await readAll(response.body)) };
      } catch {
        return { status: 0, headers: {}, text: '', broken: true };
      }
    },
    close: () => {
      for (const server of servers) server.crash();
      node.end();
      void httpServer.close();
    },
  };
};
