import { createServer } from 'node:http';
import polka from 'polka';
import { steadyClock } from '../../common/clock/steady-clock.js';
import type { Micros } from '../../common/micros.js';
import { listenAt } from '../../spread/link/listen-at.js';
import type { Counters } from '../counters.js';
import { openCallerConnections, type CallersAtStop } from './caller-connections.js';
import { openCallerTimeLimits, type CallerTimeLimits } from './caller-time-limits.js';
import { replyError } from './reply.js';
import { typedError } from '../../common/typed-error.js';

/** The HTTP side of a process. */
export type HttpServer = {
  readonly app: polka.Polka;
  readonly listen: () => Promise<void>;
  readonly callers: CallersAtStop;
  /** Takes the time limits of a newer configuration. */
  readonly follow: CallerTimeLimits['follow'];
  /** Ends once what is under way is done, or a second later; whoever goes on asking on a kept link is let go. */
  readonly close: () => Promise<void>;
};

const closeBudgetUs: Micros = 1_000_000;
const requestBudgetUs: Micros = 60_000_000;
/** In force until a configuration names others. */
const startLimits = { headUs: 10_000_000, idleUs: 30_000_000 };

export const openHttpServer = (address: string, counters: Counters): HttpServer => {
  const server = createServer();
  const timeLimits = openCallerTimeLimits(server, requestBudgetUs);
  timeLimits.follow(startLimits);
  const connections = openCallerConnections(server);
  const app = polka({
    server,
    onNoMatch: (_message, response) => replyError(response, 404, typedError('not-found', 'no such path or method')),
    onError: (_error, _message, response) =>
      replyError(response, 400, typedError('bad-exchange', 'the headers or the path do not hold')),
  });
  app.use((message, response, next) => {
    if (connections.take(message, response)) {
      next();
      return;
    }
    counters.count('http.behindLast');
    message.resume();
  });
  server.on('clientError', (_error, socket) => {
    counters.count('http.bad');
    if (!socket.writable || connections.endAfterAnswers(socket)) return;
    socket.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
  });
  app.get('/counters', (_message, response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify(counters.read())}\n`);
  });
  return {
    app,
    follow: timeLimits.follow,
    callers: connections,
    listen: () => listenAt(server, address, (port, host, done) => app.listen(port, host, done)),
    close: () =>
      new Promise((resolve) => {
        connections.retire();
        const takeBack = steadyClock.after(closeBudgetUs, () => server.closeAllConnections());
        server.close(() => {
          takeBack();
          resolve();
        });
        connections.endIdle();
      }),
  };
};
