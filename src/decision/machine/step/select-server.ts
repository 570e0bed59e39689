import type { ServerKey } from '../../../servers/list/server-key.js';

/** The first server that matches; iterates no further than that. */
export const firstMatch = (
  servers: Iterable<ServerKey>,
  isMatch: (server: ServerKey) => boolean,
): ServerKey | undefined => {
  for (const server of servers) if (isMatch(server)) return server;
  return undefined;
};

/** The usable server with the least cost; the first of them on a tie. */
export const lowestCostOf = (
  servers: Iterable<ServerKey>,
  isUsable: (server: ServerKey) => boolean,
  costOf: (server: ServerKey) => number,
): ServerKey | undefined => {
  let cheapestServer: ServerKey | undefined;
  for (const server of servers)
    if (isUsable(server) && (cheapestServer === undefined || costOf(server) < costOf(cheapestServer)))
      cheapestServer = server;
  return cheapestServer;
};
