import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toMillis, type Micros } from '../../common/micros.js';
import type { CallerLimits } from '../../setup/document/caller-limits.js';

/** The time limits of an HTTP server. */
export type CallerTimeLimits = {
  /** Takes the limits of a newer configuration; connections that rest now begin a new rest under them. */
  readonly follow: (limits: Pick<CallerLimits, 'headUs' | 'idleUs'>) => void;
  /** Lets a connection that has sent nothing yet rest as long as one between two requests. */
  readonly letRest: (socket: Socket) => void;
};

/** Keeps the time limits of an HTTP server as the newest configuration has them. `bodyUs` bounds a whole request. */
export const openCallerTimeLimits = (server: Server, bodyUs: Micros): CallerTimeLimits => {
  /** How many requests of each open connection are not answered yet. */
  const unanswered = new Map<Socket, number>();

  const countBy = (socket: Socket, difference: number): void => {
    const count = unanswered.get(socket);
    if (count !== undefined) unanswered.set(socket, count + difference);
  };

  server.on('connection', (socket: Socket) => {
    unanswered.set(socket, 0);
    socket.once('close', () => unanswered.delete(socket));
  });
  server.on('request', ({ socket }: { readonly socket: Socket }, response: ServerResponse) => {
    socket.setTimeout(server.timeout);
    countBy(socket, 1);
    response.once('close', () => countBy(socket, -1));
  });

  return {
    follow: ({ headUs, idleUs }) => {
      const idleMillis = toMillis(idleUs);
      const hasChanged = server.keepAliveTimeout !== idleMillis;
      server.keepAliveTimeout = idleMillis;
      server.headersTimeout = toMillis(headUs);
      server.requestTimeout = toMillis(Math.max(bodyUs, headUs));
      if (!hasChanged) return;
      for (const [socket, count] of unanswered) if (count === 0) socket.setTimeout(idleMillis);
    },
    letRest: (socket) => void socket.setTimeout(server.keepAliveTimeout),
  };
};
