import { createHash } from 'node:crypto';
import type { Micros } from '../../common/micros.js';
import type { ListedServer } from './listed-server.js';
import { rankOfState } from './server-state.js';

/** Some two years of a fleet's time line, in milliseconds; 60 000 servers keep the version a safe integer. */
const horizonMs = 2 ** 36;

const wholeMs = (stampUs: Micros): number => Math.floor(stampUs / 1_000);
const leftOf = (stampUs: Micros | undefined): number =>
  stampUs === undefined ? 0 : Math.max(0, horizonMs - wholeMs(stampUs));

/** What a server gives to a list's version; it grows with each step of the state, and when a stamp becomes earlier. */
export const versionPartOf = (server: ListedServer): number =>
  rankOfState(server.state) +
  leftOf(server.listedAtUs) +
  leftOf(server.leavingAtUs) +
  leftOf(server.goneAtUs) +
  (server.slots ?? 0) +
  wholeMs(server.weightsAtUs ?? 0);

export const versionOfServers = (servers: readonly ListedServer[], spent: number): number =>
  servers.reduce((sum, server) => sum + versionPartOf(server), spent);

/** What the servers of a list say, in a few characters, in whatever order the keys of an entry are. */
export const digestOfServers = (servers: readonly ListedServer[]): string => {
  const hash = createHash('sha256');
  for (const server of servers)
    hash.update(
      JSON.stringify([
        server.id,
        server.incarnation,
        server.service,
        server.address,
        server.locality,
        server.state,
        server.listedAtUs,
        server.leavingAtUs ?? null,
        server.goneAtUs ?? null,
        server.slots ?? null,
        server.weights ?? null,
        server.weightsAtUs ?? null,
      ]),
    );
  return hash.digest('base64').slice(0, 12);
};
