import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import type { Micros } from '../../src/common/micros.js';
import { openServerLink } from '../../src/servers/link/open-link.js';
import type { DeliveryRequest } from '../../src/servers/link/delivery-request.js';
import { openRawServer } from '../platform/raw/raw-server.js';
import { listedAt } from '../router/loopback.js';

const readPauseUs: Micros = 5_000;
const order: DeliveryRequest = {
  exchange: 'e1',
  service: 'web',
  kind: 'idem',
  opening: '',
  text: '',
  fromPiece: 0,
};
const body = '{"receipt":1}';
const length = `Content-Length: ${body.length}`;
const chunks = 'Transfer-Encoding: chunked';
const chunkedBody = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;

/** The body that a link reads from a response of these headers and bytes, after which the connection is cut; `lost` on an error. */
const receivedBody = async (
  headers: readonly string[],
  sent: string,
  cut: (socket: Socket) => void,
  pauseUs: Micros = 0,
): Promise<string> => {
  const listed = listedAt('i-1', 'web', 1);
  const identity = JSON.stringify({ id: listed.id, incarnation: listed.incarnation, service: listed.service });
  const server = await openRawServer((socket, request) => {
    if (request.startsWith('GET /identity'))
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${identity.length}\r\n\r\n${identity}`);
    else socket.write(['HTTP/1.1 200 OK', ...headers, '', sent].join('\r\n'), () => cut(socket));
  });
  const link = (await openServerLink({ ...listed, address: server.address })).unsafeCoerce();
  try {
    const receipt = await link.deliver(order, new AbortController().signal);
    let text = '';
    for (let next = await receipt.body.next(); next.done !== true; next = await receipt.body.next()) {
      text += next.value;
      if (pauseUs > 0) await delay(monotonicClock, pauseUs);
    }
    return text;
  } catch {
    return 'lost';
  } finally {
    link.close();
    server.close();
  }
};

const cuts: readonly ((socket: Socket) => void)[] = [
  (socket) => void socket.resetAndDestroy(),
  (socket) => void socket.end(),
];

// Guards against a truncated response that is taken for a complete one, in the router's own protocol.
test('a response delimited by the close of its connection is rejected, since truncation cannot be detected', async () => {
  for (const cut of cuts)
    for (const connection of [[], ['Connection: close']])
      assert.is(await receivedBody(connection, body.slice(0, 5), cut), 'lost');
});

test('a response with a length or in chunks is accepted only with its last byte', async () => {
  for (const cut of cuts) {
    assert.is(await receivedBody([length], body, cut), body);
    assert.is(await receivedBody([chunks], chunkedBody, cut), body);
    assert.is(await receivedBody([length], body.slice(0, 5), cut), 'lost');
    assert.is(await receivedBody([chunks], chunkedBody.slice(0, -5), cut), 'lost');
  }
});

// Guards against a crash of the process when a server closes the connection while its response is read slowly.
test('a response that is read slowly is complete even if the connection ends meanwhile', async () => {
  for (let bytes = 60_000; bytes < 400_000; bytes += 20_000) {
    const text = 'x'.repeat(bytes);
    const headers = ['Connection: close', `Content-Length: ${bytes}`];
    assert.is((await receivedBody(headers, text, (socket) => void socket.end(), readPauseUs)).length, bytes);
  }
});

test.run();
