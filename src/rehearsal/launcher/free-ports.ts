import { createServer } from 'node:net';

/** Below the range from which systems draw the ports of outgoing connections, so that none of these takes one first. */
const firstPort = 12_000;
const endPort = 32_000;

const handedOut = new Set<number>();

const isFree = (port: number, host: string): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Ports that were free just now; none is handed out twice by one process. */
export const freePorts = async (count: number, host = '127.0.0.1'): Promise<readonly number[]> => {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = firstPort + Math.floor(Math.random() * (endPort - firstPort));
    if (handedOut.has(port) || !(await isFree(port, host))) continue;
    handedOut.add(port);
    ports.push(port);
  }
  return ports;
};
