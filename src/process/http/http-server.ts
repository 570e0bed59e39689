import { createServer } from 'node:http';
import polka from 'polka';
import { monotonicClock } from '../../common/clock/monotonic-clock.js';
import type { Micros } from '../../common/micros.js';
import { listenAt } from '../../spread/link/listen-at.js';
import type { Counters } from '../counters.js';
import { openClientConnections, type ConnectionDrain } from './client-connections.js';
import { openClientTimeLimits, type ClientTimeLimits } from './client-time-limits.js';
import { clientLinkOverHttp } from './client-link-over-http.js';
import { replyError } from './reply.js';
import { retryAfterUs, stoppingError } from './stopping-error.js';
import { typedError } from '../../common/typed-error.js';

/** The HTTP server of a process. */
export type HttpServer = {
  readonly app: polka.Polka;
  readonly listen: () => Promise<void>;
  readonly callers: ConnectionDrain;
  /** Applies the time limits of a new configuration. */
  readonly applyTimeLimits: ClientTimeLimits['apply'];
  /** Closes the server once all accepted requests are answered, at the latest after `closeTimeoutUs`. No further ones are accepted. */
  readonly close: () => Promise<void>;
};

const closeTimeoutUs: Micros = 1_000_000;
const requestTimeoutUs: Micros = 60_000_000;
/** In effect until a configuration sets others. */
const initialLimits = { headUs: 10_000_000, idleUs: 30_000_000 };

export const openHttpServer = (address: string, counters: Counters): HttpServer => {
  const server = createServer();
  const timeLimits = openClientTimeLimits(server, requestTimeoutUs);
  timeLimits.apply(initialLimits);
  const connections = openClientConnections(server, (response) =>
    clientLinkOverHttp(response).refuse(stoppingError, undefined, retryAfterUs),
  );
  const app = polka({
    server,
    onNoMatch: (_message, response) => replyError(response, 404, typedError('not-found', 'no such path or method')),
    onError: (_error, _message, response) =>
      replyError(response, 400, typedError('bad-exchange', 'the headers or the path are malformed')),
  });
  app.use((message, response, next) => {
    if (connections.accept(message, response)) {
      next();
      return;
    }
    counters.count('http.behindLast');
    message.resume();
  });
  server.on('clientError', (_error, socket) => {
    counters.count('http.bad');
    if (!socket.writable || connections.closeAfterResponses(socket)) return;
    socket.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
  });
  app.get('/counters', (_message, response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify(counters.read())}\n`);
  });
  return {
    app,
    applyTimeLimits: timeLimits.apply,
    callers: connections,
    listen: () => listenAt(server, address, (port, host, done) => app.listen(port, host, done)),
    close: () =>
      new Promise((resolve) => {
        connections.closeAfterNewest();
        const cancelTimeout = monotonicClock.after(closeTimeoutUs, () => server.closeAllConnections());
        server.close(() => {
          cancelTimeout();
          resolve();
        });
        connections.closeIdle();
      }),
  };
};
