import { createServer, type Server } from 'node:net';

const listening = (host: string): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => resolve(server));
  });

const portOf = (server: Server): number => {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
};

/** Ports that were free just now, all different. */
export const freePorts = async (count: number, host = '127.0.0.1'): Promise<readonly number[]> => {
  const servers: Server[] = [];
  for (let index = 0; index < count; index += 1) servers.push(await listening(host));
  const ports = servers.map(portOf);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};
