import { Client } from 'undici';
import type { ServerConnection } from './server-connection.js';

/** How long a client keeps an idle connection open. */
export type IdleLimits = Pick<Client.Options, 'keepAliveTimeout' | 'keepAliveMaxTimeout' | 'keepAliveTimeoutThreshold'>;

/** An HTTP client on one open connection. It never reconnects, and sets no timeout on responses. */
export const clientOver = ({ socket }: ServerConnection, address: string, idleLimits: IdleLimits): Client => {
  let isConnected = false;
  return new Client(`http://${address}`, {
    ...idleLimits,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: (_options, callback) => {
      const isFirstCall = !isConnected;
      isConnected = true;
      queueMicrotask(() => {
        if (isFirstCall && !socket.destroyed) callback(null, socket);
        else callback(new Error('the connection of this link is closed; a link does not reconnect'), null);
      });
    },
  });
};
