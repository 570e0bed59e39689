import { openHttpServer, type HttpServer } from '../http/http-server.js';
import { addPlatformPaths } from '../http/platform-paths.js';
import { addExchangePaths } from './exchange-paths.js';
import type { RouterNode } from './router-node.js';

/** Sets up the HTTP server of a router node, with the routes for clients and for the platform; it does not listen yet. */
export const serveRouter = (node: RouterNode, address: string): HttpServer => {
  const http = openHttpServer(address, node.counters);
  node.spread.events.on('setup', ({ setup }) => {
    if (setup.callers !== undefined) http.applyTimeLimits(setup.callers);
  });
  addPlatformPaths(http, node.spread, node.counters, node.unreadyReason);
  addExchangePaths(http, node);
  return http;
};
