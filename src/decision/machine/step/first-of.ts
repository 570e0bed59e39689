import type { ServerKey } from '../../../servers/list/server-key.js';

/** The first server that is wished for; walks no further than that. */
export const firstOf = (
  servers: Iterable<ServerKey>,
  isWished: (server: ServerKey) => boolean,
): ServerKey | undefined => {
  for (const server of servers) if (isWished(server)) return server;
  return undefined;
};

/** The usable server under the least pressure, the first of several. */
export const calmestOf = (
  servers: Iterable<ServerKey>,
  isUsable: (server: ServerKey) => boolean,
  pressureOf: (server: ServerKey) => number,
): ServerKey | undefined => {
  let calmestServer: ServerKey | undefined;
  for (const server of servers)
    if (isUsable(server) && (calmestServer === undefined || pressureOf(server) < pressureOf(calmestServer)))
      calmestServer = server;
  return calmestServer;
};
