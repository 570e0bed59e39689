import { createServer } from 'node:http';
import { monotonicNow, toMillis } from '../../../src/common/micros.js';
import { addressParts } from '../../../src/spread/link/address-parts.js';
import type { PlatformServer } from './open-platform-server.js';

type ListEntry = {
  readonly id: string;
  readonly svc: string;
  readonly addr: string;
  readonly zone: string;
  readonly ver: string;
  readonly cap: number;
  readonly state: 'up' | 'drain';
  readonly warm_left_ms: number;
  readonly phase?: string;
  readonly llms?: readonly { readonly name: string; readonly ver: number; readonly loras: readonly string[] }[];
};

/** What the list tells of a server. */
export type ShownServer = Pick<
  PlatformServer,
  'id' | 'service' | 'address' | 'zone' | 'type' | 'slots' | 'isDraining' | 'version'
>;

/** The platform's list of servers: it lags, has pages and a rate. */
export type Provider = {
  readonly show: (servers: readonly ShownServer[]) => void;
  readonly calls: () => number;
  readonly overRate: () => number;
  readonly listen: () => Promise<void>;
  readonly close: () => void;
};

export type ProviderFigures = {
  readonly address: string;
  readonly lagUs: number;
  readonly pageSize: number;
  readonly mostCallsASecond: number;
};

const entryOf = (server: ShownServer): ListEntry => ({
  svc: server.service,
  addr: server.address,
  zone: server.zone,
  ver: 'v1',
  cap: server.slots,
  state: server.isDraining() ? 'drain' : 'up',
  warm_left_ms: 0,
  ...(server.type === 'model' ? { phase: 'mixed', llms: [{ name: 'm', ver: server.version(), loras: [] }] } : {}),
  id: server.id,
});

export const openProvider = ({ address, lagUs, pageSize, mostCallsASecond }: ProviderFigures): Provider => {
  let shown: readonly ListEntry[] = [];
  let calls = 0;
  let overRate = 0;
  let callTimes: readonly number[] = [];
  const timers = new Set<NodeJS.Timeout>();
  const server = createServer((message, response) => {
    calls += 1;
    callTimes = [...callTimes.filter((atUs) => atUs > monotonicNow() - 1_000_000), monotonicNow()];
    if (callTimes.length > mostCallsASecond) {
      overRate += 1;
      response.writeHead(429).end();
      return;
    }
    const { pathname, searchParams } = new URL(message.url ?? '/', 'http://provider');
    if (pathname !== '/servers') {
      response.writeHead(404).end();
      return;
    }
    const zone = searchParams.get('zone');
    const entries = zone === null ? shown : shown.filter((entry) => entry.zone === zone);
    const from = Number((searchParams.get('page_tok') ?? 'p-0').slice(2));
    const next = from + pageSize;
    response.writeHead(200, { 'Content-Type': 'application/json' });
    response.end(
      JSON.stringify({ servers: entries.slice(from, next), next_cursor: next < entries.length ? `p-${next}` : null }),
    );
  });
  return {
    show: (servers) => {
      const entries = servers.map(entryOf);
      const timer = setTimeout(() => {
        timers.delete(timer);
        shown = entries;
      }, toMillis(lagUs));
      timers.add(timer);
    },
    calls: () => calls,
    overRate: () => overRate,
    listen: () =>
      new Promise((resolve, reject) => {
        const { host, port } = addressParts(address);
        server.once('error', reject);
        server.listen(port, host, resolve);
      }),
    close: () => {
      for (const timer of timers) clearTimeout(timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
