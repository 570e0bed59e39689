// The platform's list of servers, as the users' page has it.
import { createServer } from 'node:http';

export const openPlatform = (address, servers) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const server = createServer((message, response) => {
      const text = JSON.stringify({ servers: servers(), next_cursor: null });
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
      response.end(text);
    });
    server.listen(Number(port), host, () =>
      resolve({
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      }),
    );
  });
