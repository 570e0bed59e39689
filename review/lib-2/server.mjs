// Stand-ins of a model server and of a client, which speak HTTP/1.1 as PROTOCOL.md says.
import { connect, createServer } from 'node:net';

let lastServer = 0;

/** The whole requests at the start of some bytes, and what is left. */
const requestsIn = (bytes) => {
  const requests = [];
  for (let rest = bytes; ; ) {
    const end = rest.indexOf('\r\n\r\n');
    if (end < 0) return { requests, rest };
    const [line = '', ...fields] = rest.subarray(0, end).toString('latin1').split('\r\n');
    const headers = Object.fromEntries(
      fields.map((field) => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]),
    );
    const length = Number(headers['content-length'] ?? 0);
    if (rest.length < end + 4 + length) return { requests, rest };
    const [method, target] = line.split(' ');
    requests.push({ method, target, headers, attempt: headers['ledgehill-attempt-id'] ?? '' });
    rest = rest.subarray(end + 4 + length);
  }
};

/** Starts a server and puts it on the platform's list; `serve` gets each whole request, unless it is meant for another server. */
export const openServer = async (fleet, svc, serve, { cap = 64, zone = 'vault-hall' } = {}) => {
  lastServer += 1;
  const id = `i-${(0x7f3a0000 + lastServer).toString(16)}`;
  const { host, port } = await fleet.serverAddress();
  const sockets = new Set();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      const { requests, rest } = requestsIn(Buffer.concat([bytes, chunk]));
      bytes = rest;
      for (const request of requests) {
        const wanted = request.headers['ledgehill-want-server'];
        if (wanted === undefined || wanted === id) serve(socket, request);
        else socket.write(turnedAway(request, 421));
      }
    });
  });
  await new Promise((resolve) => server.listen(port, host, resolve));
  const entry = {
    id, svc, addr: `${host}:${port}`, zone, cap, state: 'up', model: svc === 'readers',
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
  fleet.servers.push(entry);
  return entry;
};

/** The head of an answer, with the fields that every answer of a server has. */
export const headOf = (request, server, fields) =>
  [
    'HTTP/1.1 200 OK',
    `Ledgehill-Attempt-Id: ${request.attempt}`,
    `Ledgehill-Server-Seal: ${server}.${request.attempt}`,
    'Ledgehill-Weight-Versions: 1',
    ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
    '\r\n',
  ].join('\r\n');

export const turnedAway = (request, status) =>
  `HTTP/1.1 ${status} Turned Away\r\nLedgehill-Attempt-Id: ${request.attempt}\r\nLedgehill-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;

export const eventOf = (id, text) => `id: ${id}\ndata: ${text}\n\n`;

export const chunkOf = (text) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/**
 * Sends a request on a new connection, and resolves when the connection ends, when the answer is complete, or when the client
 * gives up. `silentMs`: the longest silence that the client bears.
 */
export const ask = (address, path, attempt, { headers = {}, budgetMs = 12_000, silentMs = 4_000 } = {}) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect(Number(port), host);
    const sentMs = Date.now();
    let text = '';
    let end;
    let isSent = false;
    let firstMs;
    const finish = (how) => {
      if (end !== undefined) return;
      end = how;
      clearTimeout(silence);
      clearTimeout(deadline);
      socket.destroy();
      const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
      resolve({ how, status, text, isSent, isComplete: isComplete(text), sentMs, firstMs, tookMs: Date.now() - sentMs });
    };
    let silence = setTimeout(() => finish('client gave up after a silence'), silentMs);
    const deadline = setTimeout(() => finish('client gave up at its deadline'), budgetMs);
    socket.on('connect', () => {
      const fields = {
        Host: 'ficu95.example', 'Ledgehill-Attempt-Id': attempt, 'Ledgehill-Budget-Ms': budgetMs, 'Content-Length': 4, ...headers,
      };
      socket.write(`POST ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\nbody`, () => {
        isSent = true;
      });
    });
    socket.on('data', (chunk) => {
      firstMs ??= Date.now() - sentMs;
      text += chunk.toString('latin1');
      clearTimeout(silence);
      silence = setTimeout(() => finish('client gave up after a silence'), silentMs);
      if (isComplete(text)) finish('answered');
    });
    socket.on('end', () => finish('connection ended'));
    socket.on('error', (error) => finish(`connection failed: ${error.code}`));
  });

/** Whether an answer is complete by its own framing. */
const isComplete = (text) => {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const head = text.slice(0, end);
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  if (length !== undefined) return text.length - end - 4 >= Number(length);
  return /\r\ntransfer-encoding: chunked/i.test(head) && text.endsWith('\r\n0\r\n\r\n');
};

/** The header fields of a prompt with these parts. */
export const promptOf = (parts) => ({
  'Ledgehill-Model': 'm',
  'Ledgehill-Token-Count': `${parts.reduce((sum, [, tokens]) => sum + tokens, 0)},21`,
  'Ledgehill-Prompt-Prefix': parts.map(([id, tokens]) => `${id}:${tokens}`).join(','),
});
