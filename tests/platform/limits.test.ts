import { createServer } from 'node:http';
import { createConnection, type Socket } from 'node:net';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openClientTimeLimits } from '../../src/process/http/client-time-limits.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import type { ClientLimits } from '../../src/setup/document/client-limits.js';
import type { Edge } from './raw/open-edge.js';
import { answerTo, post, seen, withEdge, type Serve } from './raw/with-edge.js';

const ok: Serve = (socket, request) => socket.write(answerTo(request, 'ok'));

/** Puts a configuration with other limits in force. */
const limit = (edge: Edge, limits: Partial<ClientLimits>): void => {
  const { record } = edge.node.router.view();
  if (record?.setup.callers === undefined) throw new Error('no configuration is in force');
  const callers = { ...record.setup.callers, ...limits };
  edge.node.spread.offerSetup({ ...record, revision: record.revision + 1, setup: { ...record.setup, callers } });
};

test('the time that a connection may rest follows the configuration', () =>
  withEdge(ok, async (edge) => {
    const client = await edge.connect();
    client.socket.write(post('/idem/x', '', [], 'a1'));
    assert.match(await client.until('ok'), 'Keep-Alive: timeout=15\r\n');
    limit(edge, { idleUs: 40_000_000 });
    client.socket.write(post('/idem/x', '', [], 'a2'));
    await seen(() => client.received().endsWith('ok') && client.received().includes('Keep-Alive: timeout=40\r\n'));
    limit(edge, { idleUs: 50_000 });
    assert.is((await client.ended()).match(/HTTP\/1.1/g)?.length, 2);
  }));

test('the size of a head follows the configuration, up to its byte', () =>
  withEdge(ok, async (edge, server) => {
    const bytes = post('/idem/x', '', ['X-Long: '.padEnd(900, 'y')]);
    const fieldBytes = bytes.indexOf('\r\n\r\n') + 2 - (bytes.indexOf('\r\n') + 2);
    limit(edge, { headBytes: fieldBytes - 1 });
    const refused = await edge.connect();
    refused.socket.write(bytes);
    assert.match(await refused.ended(), /^HTTP\/1.1 431 [^]*connection: close/i);
    assert.is(server.received(), '');
    limit(edge, { headBytes: fieldBytes });
    const taken = await edge.connect();
    taken.socket.write(bytes);
    assert.match(await taken.until('ok'), /^HTTP\/1.1 200 /);
  }));

test('a head that is larger than the first limit passes once the configuration allows it', () =>
  withEdge(ok, async (edge, server) => {
    limit(edge, { headBytes: 100_000 });
    const client = await edge.connect();
    client.socket.write(
      post(
        '/idem/x',
        '',
        Array.from({ length: 3_000 }, (_, place) => `X-${place}: ${'y'.repeat(10)}`),
      ),
    );
    assert.match(await client.until('ok'), /^HTTP\/1.1 200 /);
    assert.match(server.received(), /x-2999: y+\r\n/i);
  }));

test('the time for a head follows the configuration, and a connection that sent nothing yet rests on', () =>
  withEdge(ok, async (edge) => {
    limit(edge, { headUs: 50_000 });
    const resting = await edge.connect();
    const late = await edge.connect();
    late.socket.write('POST /idem/x HTTP/1.1\r\nHost: a.exa');
    assert.match(await late.ended(), /^HTTP\/1.1 408 /);
    resting.socket.write(post('/idem/x'));
    assert.match(await resting.until('ok'), /^HTTP\/1.1 200 /);
  }));

test('a connection at rest takes a longer rest at once, and one with a request under way has none', async () => {
  const [port = 0] = await freePorts(1);
  const server = createServer();
  const limits = openClientTimeLimits(server, 30_000_000);
  limits.apply({ headUs: 3_000_000, idleUs: 5_000_000 });
  const accepted: Socket[] = [];
  server.on('connection', (socket) => accepted.push(socket));
  server.on('request', (message, response) => {
    if (message.url === '/ends') response.end('ok');
    else response.write('begun');
  });
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  const client = createConnection({ host: '127.0.0.1', port });
  try {
    client.write('GET /ends HTTP/1.1\r\nHost: a\r\n\r\n');
    await once(client, 'data');
    await seen(() => (accepted[0]?.timeout ?? 0) >= 5_000);
    assert.ok((accepted[0]?.timeout ?? 0) < 60_000);
    limits.apply({ headUs: 9_000_000, idleUs: 60_000_000 });
    assert.equal([server.headersTimeout, server.requestTimeout], [9_000, 30_000]);
    assert.is(accepted[0]?.timeout, 60_000);
    client.write('GET /stays HTTP/1.1\r\nHost: a\r\n\r\n');
    await once(client, 'data');
    assert.is(accepted[0]?.timeout, 0);
    limits.apply({ headUs: 3_000_000, idleUs: 1_000 });
    assert.is(accepted[0]?.timeout, 0);
  } finally {
    client.destroy();
    server.closeAllConnections();
    server.close();
  }
});

test.run();
