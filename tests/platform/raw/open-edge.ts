import { createConnection, type Socket } from 'node:net';
import { Right } from 'purify-ts';
import { openEdgeServer } from '../../../platform/client/edge-server.js';
import { setupOfDocument } from '../../../platform/operator/setup-of-document.js';
import { dialServer } from '../../../platform/server/dial.js';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../../src/common/micros.js';
import type { CoreReply } from '../../../src/control/machine/core-reply.js';
import { applyCommand } from '../../../src/control/state/apply.js';
import { emptyReplicatedState } from '../../../src/control/state/replicated-state.js';
import type { CoreClient } from '../../../src/process/core-client.js';
import type { Log } from '../../../src/process/log.js';
import { openRouterNode, type RouterNode } from '../../../src/process/router/router-node.js';
import { defaultMemoryBytes, defaultTerminationGraceUs } from '../../../src/process/settings/node-settings.js';
import { realSurroundings } from '../../../src/process/surroundings/real-surroundings.js';
import { freePorts } from '../../../src/rehearsal/launcher/free-ports.js';
import type { ListedServer } from '../../../src/servers/list/listed-server.js';
import { retryLimits } from '../documents.js';

/** A router of the platform in this process, whose clients' bytes the test writes itself. */
export type Edge = {
  readonly node: RouterNode;
  /** Where its clients reach it. */
  readonly address: string;
  readonly show: (servers: readonly ListedServer[]) => void;
  readonly retire: () => void;
  /** Stops the node as a signal does, and closes what is left of its clients' connections. */
  readonly stop: () => Promise<void>;
  readonly connect: () => Promise<RawClient>;
  /** Ends the node at once, with whatever is under way. */
  readonly end: () => void;
  readonly close: () => void;
};

/** A client's connection. */
export type RawClient = {
  readonly socket: Socket;
  readonly received: () => string;
  /** Waits until what came holds the text, or the connection has ended. */
  readonly until: (text: string) => Promise<string>;
  readonly ended: () => Promise<string>;
};

export const edgeDocument = {
  ver: 1,
  routes: [
    {
      name: 'idem',
      host: 'a.example',
      prefix: '/idem/',
      kind: 'idem',
      timeout_ms: 3_000,
      target_ms: 300,
      prio: 0,
      svc: 'web',
      tries: 2,
    },
    {
      name: 'once',
      host: 'a.example',
      prefix: '/once/',
      kind: 'once',
      timeout_ms: 3_000,
      target_ms: 300,
      prio: 0,
      svc: 'web',
      tries: 1,
    },
    {
      name: 'care',
      host: 'a.example',
      prefix: '/care/',
      kind: 'once',
      timeout_ms: 3_000,
      target_ms: 300,
      prio: 0,
      svc: 'web',
      tries: 3,
    },
    {
      name: 'brief',
      host: 'a.example',
      prefix: '/brief/',
      kind: 'once',
      timeout_ms: 300,
      target_ms: 100,
      prio: 0,
      svc: 'web',
      tries: 1,
    },
    {
      name: 'stream',
      host: 'a.example',
      prefix: '/stream/',
      kind: 'stream',
      timeout_ms: 3_000,
      target_ms: 300,
      prio: 0,
      svc: 'web',
      tries: 1,
      resume: false,
      gap_target_ms: 500,
    },
    {
      name: 'resumed',
      host: 'a.example',
      prefix: '/resumed/',
      kind: 'stream',
      timeout_ms: 3_000,
      target_ms: 300,
      prio: 0,
      svc: 'web',
      tries: 2,
      resume: true,
      gap_target_ms: 500,
    },
  ],
  svcs: [{ name: 'web', health_path: '/healthz', max_conns: 96 }],
  limits: { hdr_bytes: 16_384, body_max_bytes: 1_000, hdr_ms: 3_000, idle_ms: 15_000 },
};

/** A core that gives the same configuration to everyone. */
export const coreWith = (document: unknown): CoreClient => {
  const { setup } = setupOfDocument(document, retryLimits).unsafeCoerce();
  const { state } = applyCommand(emptyReplicatedState, { type: 'setup', proposal: 'p', expected: 0, setup, atUs: 0 });
  return { ask: () => Promise.resolve(Right<CoreReply>({ type: 'record', record: state.record, outcome: undefined })) };
};

const waitUs = 8_000_000;

const rawClient = (socket: Socket): RawClient => {
  let received = '';
  let isEnded = false;
  socket.setDefaultEncoding('latin1');
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  socket.on('close', () => {
    isEnded = true;
  });
  const wait = async (isSo: () => boolean): Promise<string> => {
    const dueUs = monotonicNow() + waitUs;
    while (!isSo()) {
      if (monotonicNow() > dueUs) throw new Error(`nothing came of it: ${JSON.stringify(received.slice(0, 500))}`);
      await delay(monotonicClock, 5_000);
    }
    return received;
  };
  return {
    socket,
    received: () => received,
    until: (text) => wait(() => isEnded || received.includes(text)),
    ended: () => wait(() => isEnded),
  };
};

/** Opens a router on a core; waits until it has a configuration where that core gives one. */
export const openEdge = async (
  core: CoreClient = coreWith(edgeDocument),
  waitsForCore = true,
  log: Log = { change: () => undefined },
  memoryBytes: number = defaultMemoryBytes,
  terminationGraceUs: Micros = defaultTerminationGraceUs,
): Promise<Edge> => {
  const [edgePort = 0, partnerPort] = await freePorts(2);
  const http = `127.0.0.1:${edgePort}`;
  const partners = `127.0.0.1:${partnerPort}`;
  const node = openRouterNode({
    settings: { node: 'r1', locality: 'a', http, partners, seeds: [partners], memoryBytes, terminationGraceUs },
    log,
    surroundings: { ...realSurroundings, dial: dialServer, probesNothing: true },
    openCore: () => core,
  });
  const server = openEdgeServer(http, node);
  const { callers } = server;
  const sockets: Socket[] = [];
  let version = 0;
  const end = (): void => {
    node.end();
    server.close();
  };
  await server.listen();
  await node.start();
  for (let look = 0; look < 600 && waitsForCore && node.router.view().record === undefined; look += 1)
    await delay(monotonicClock, 5_000);
  return {
    node,
    address: http,
    show: (servers) => {
      version += 1;
      node.spread.offerList({ version, atUs: monotonicNow() + version, servers });
    },
    retire: () => {
      callers.closeAfterNewest();
      callers.closeIdle();
    },
    stop: async () => {
      await node.stop(callers);
      server.close();
    },
    connect: () =>
      new Promise((resolve, reject) => {
        const socket = createConnection({ host: '127.0.0.1', port: edgePort, noDelay: true });
        sockets.push(socket);
        socket.once('error', reject);
        socket.once('connect', () => resolve(rawClient(socket)));
      }),
    end,
    close: () => {
      for (const socket of sockets) socket.destroy();
      end();
    },
  };
};
