import type { Server } from 'node:net';
import { addressParts } from './address-parts.js';

type Listen = (port: number, host: string, done: () => void) => unknown;

/** Lets a server listen at an IP:port address; fails where it can't. A web framework may listen in the server's place. */
export const listenAt = (
  server: Server,
  address: string,
  listen: Listen = (port, host, done) => server.listen(port, host, done),
): Promise<void> =>
  new Promise((resolve, reject) => {
    const { host, port } = addressParts(address);
    server.once('error', reject);
    listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
