import { createHash } from 'node:crypto';
import type { Micros } from '../../common/micros.js';
import type { ListedServer } from './listed-server.js';
import { rankOfState } from './server-state.js';

/** Upper bound on stamps: about two years of the fleet's clock, in milliseconds. The version of 60 000 servers is a safe integer. */
const horizonMs = 2 ** 36;

const toMs = (stampUs: Micros): number => Math.floor(stampUs / 1_000);
const msToHorizon = (stampUs: Micros | undefined): number =>
  stampUs === undefined ? 0 : Math.max(0, horizonMs - toMs(stampUs));

/** A server's contribution to the list version. It grows with every state transition and when a stamp moves earlier. */
export const versionContributionOf = (server: ListedServer): number =>
  rankOfState(server.state) +
  msToHorizon(server.listedAtUs) +
  msToHorizon(server.leavingAtUs) +
  msToHorizon(server.goneAtUs) +
  (server.slots ?? 0) +
  toMs(server.weightsAtUs ?? 0);

export const versionOfServers = (servers: readonly ListedServer[], spent: number): number =>
  servers.reduce((sum, server) => sum + versionContributionOf(server), spent);

/** Short hash of the entries of a list; independent of the order of the keys of an entry. */
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
