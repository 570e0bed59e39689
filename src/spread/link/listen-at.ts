import type { Server } from 'node:net';
import { addressParts } from './address-parts.js';

type Listen = (port: number, host: string, done: () => void) => unknown;

/**
 * Listens at an `IP:port` address; the promise rejects with the server's error if that fails. `listen` lets a web
 * framework make the call in the server's place.
 */
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
