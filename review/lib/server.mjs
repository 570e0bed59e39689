// A sound server of the platform: it answers 421 where another server is wanted, runs each request once it is whole, and
// bears its seal and the attempt's id in each answer.
import { createServer } from 'node:http';
import { trace } from './fleet.mjs';

export const openServer = ({ id, svc, address, zone = 'vault-hall', cap = 6, work, ran }) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    let seals = 0;
    let state = 'up';
    const server = createServer({ keepAliveTimeout: 30_000 }, (message, response) => {
      const chunks = [];
      message.on('data', (chunk) => chunks.push(chunk));
      message.on('end', () => {
        const attempt = message.headers['ledgehill-attempt-id'] ?? '';
        if (message.url === '/healthz') {
          response.writeHead(200, { 'Ledgehill-Server-Id': id, 'content-length': 0 });
          response.end();
          return;
        }
        const wanted = message.headers['ledgehill-want-server'];
        if (attempt === '' || (wanted !== undefined && wanted !== id)) {
          response.writeHead(attempt === '' ? 400 : 421, { 'Ledgehill-Attempt-Id': attempt, 'Ledgehill-Not-Run': '1', 'content-length': 0 });
          response.end();
          return;
        }
        seals += 1;
        trace(`run: ${attempt} ${message.method} ${message.url} at ${id}`);
        ran({ attempt, id, url: message.url, body: Buffer.concat(chunks).toString('latin1') });
        work({
          message,
          response,
          attempt,
          head: { 'Ledgehill-Attempt-Id': attempt, 'Ledgehill-Server-Seal': `${id}.${seals}`, 'Ledgehill-Weight-Versions': '1' },
        });
      });
    });
    server.listen(Number(port), host, () =>
      resolve({
        id,
        listed: () => ({ svc, addr: address, zone, ver: 'v1', cap, state, warm_left_ms: 0, ...(svc === 'readers' ? { phase: 'mixed', llms: [{ name: 'm', ver: 1, loras: [] }] } : {}), id }),
        drain: () => {
          state = 'drain';
        },
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      }),
    );
  });
