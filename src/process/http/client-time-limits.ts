import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toMillis, type Micros } from '../../common/micros.js';
import type { ClientLimits } from '../../setup/document/client-limits.js';

/** The time limits of an HTTP server. */
export type ClientTimeLimits = {
  /** Applies the limits of a new configuration; the idle time-out of connections that are idle now starts again. */
  readonly apply: (limits: Pick<ClientLimits, 'headUs' | 'idleUs'>) => void;
  /** Applies the idle time-out to a connection that has not sent anything yet. */
  readonly startIdleTimeout: (socket: Socket) => void;
};

/** Applies configured time limits to an HTTP server. `bodyUs` bounds the time to receive a whole request. */
export const openClientTimeLimits = (server: Server, bodyUs: Micros): ClientTimeLimits => {
  /** The number of unanswered requests by open connection. */
  const unanswered = new Map<Socket, number>();

  const addTo = (socket: Socket, difference: number): void => {
    const count = unanswered.get(socket);
    if (count !== undefined) unanswered.set(socket, count + difference);
  };

  server.on('connection', (socket: Socket) => {
    unanswered.set(socket, 0);
    socket.once('close', () => unanswered.delete(socket));
  });
  server.on('request', ({ socket }: { readonly socket: Socket }, response: ServerResponse) => {
    socket.setTimeout(server.timeout);
    addTo(socket, 1);
    response.once('close', () => addTo(socket, -1));
  });

  return {
    apply: ({ headUs, idleUs }) => {
      const idleMillis = toMillis(idleUs);
      const hasChanged = server.keepAliveTimeout !== idleMillis;
      server.keepAliveTimeout = idleMillis;
      server.headersTimeout = toMillis(headUs);
      server.requestTimeout = toMillis(Math.max(bodyUs, headUs));
      if (!hasChanged) return;
      for (const [socket, count] of unanswered) if (count === 0) socket.setTimeout(idleMillis);
    },
    startIdleTimeout: (socket) => void socket.setTimeout(server.keepAliveTimeout),
  };
};
