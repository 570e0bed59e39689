import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openListSource } from '../../platform/list/open-list-source.js';
import { dialServer } from '../../platform/server/dial.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { raceTimeout } from '../../src/common/clock/race-timeout.js';
import { dialConnection } from '../../src/servers/link/dial-connection.js';
import { listedAt } from '../router/loopback.js';
import { carried, orderOf, type Carried } from './raw/carried.js';
import type { Edge } from './raw/open-edge.js';
import { openRawServer } from './raw/raw-server.js';
import { answerTo, chunk, idIn, post, seen, withEdge, type Serve } from './raw/with-edge.js';

/** How the end of an answer is told, and its body in those bytes. */
type Framing = { readonly name: string; readonly headers: readonly string[]; readonly body: string };
type Cut = { readonly name: string; readonly cut: (socket: Socket) => void };

const event = 'id: 1\ndata: x\n\n';
const stream = 'Content-Type: text/event-stream';
/** A cut comes together with the bytes before it, or is read by itself. */
const waitsBeforeCutMs = [0, 20] as const;
const waitBeforeCutMs = 20;
const wordUs = 3_000_000;

const plain: readonly Framing[] = [
  { name: 'a length', headers: ['Content-Length: 5'], body: 'hello' },
  { name: 'chunks', headers: ['Transfer-Encoding: chunked'], body: '5\r\nhello\r\n0\r\n\r\n' },
];
const withoutLength: readonly Framing[] = [
  { name: 'no length', headers: [], body: 'hello' },
  { name: 'no length, a stream', headers: [stream], body: `${event}${event}` },
];
const connections: readonly (readonly string[])[] = [[], ['Connection: close'], ['Connection: keep-alive']];
const reset: Cut = { name: 'reset', cut: (socket) => socket.resetAndDestroy() };
const ended: Cut = { name: 'ended', cut: (socket) => socket.end() };

/** What a link tells of an answer of which so much is sent before the connection is cut. */
const carriedAnswer = async (
  headers: readonly string[],
  sent: string,
  { cut }: Cut,
  waitMs: number = waitBeforeCutMs,
): Promise<Carried> => {
  const head = ['HTTP/1.1 200 OK', 'Ledgehill-Attempt-Id: a', 'Ledgehill-Server-Seal: s.1', ...headers, '', ''];
  const server = await openRawServer((socket) =>
    socket.write(`${head.join('\r\n')}${sent}`, () =>
      waitMs === 0 ? cut(socket) : setTimeout(() => cut(socket), waitMs),
    ),
  );
  const link = (await dialServer({ ...listedAt('i-1', 'readers', 1), address: server.address })).unsafeCoerce();
  try {
    const made = await raceTimeout(monotonicClock, carried(link, orderOf('a')), wordUs);
    if (made === undefined) throw new Error('no last word in time');
    return made;
  } finally {
    link.close();
    server.close();
  }
};

// Guards against: an answer without a length that is reset on the way looks whole to the caller.
test('an answer without a length is whole only if its connection ends in order', async () => {
  for (const { name, headers, body } of withoutLength)
    for (const connection of connections)
      for (const waitMs of waitsBeforeCutMs)
        for (const cut of [reset, ended]) {
          const made = await carriedAnswer([...headers, ...connection], body, cut, waitMs);
          const label = `${name}, ${connection[0] ?? 'no word'}, ${cut.name} after ${waitMs} ms`;
          assert.is(made.ending, cut === ended ? 'end' : 'lost', label);
        }
});

/** Reads the peer's address of a new connection, as tracing tools do; Node keeps it from then on. */
const readPeerAddress = (message: unknown): void => {
  if (typeof message !== 'object' || message === null || !('socket' in message)) return;
  const { socket } = message;
  if (socket instanceof Socket) socket.once('connect', () => void socket.remoteAddress);
};

// Guards against: whether an answer was reset is read from the address of the peer, which Node may have kept.
test('an answer that is reset together with its last bytes is lost, also where the address of the peer was read', async () => {
  subscribe('net.client.socket', readPeerAddress);
  try {
    for (const { name, headers, body } of withoutLength)
      for (const [cut, ending] of [
        [reset, 'lost'],
        [ended, 'end'],
      ] as const)
        assert.is((await carriedAnswer(headers, body, cut, 0)).ending, ending, `${name}, ${cut.name}`);
  } finally {
    unsubscribe('net.client.socket', readPeerAddress);
  }
});

test('a client of a stream without a length that ends within an event sees whole events, and a cut', async () => {
  for (const { name, cut } of [reset, ended]) {
    const serve: Serve = (socket, request) => {
      const head = ['HTTP/1.1 200 OK', `Ledgehill-Attempt-Id: ${idIn(request)}`, 'Ledgehill-Server-Seal: s.1', stream];
      socket.write([...head, '', `${event}id: 2\n`].join('\r\n'), () => setTimeout(() => cut(socket), waitBeforeCutMs));
    };
    await withEdge(serve, async (edge) => {
      const client = await edge.connect();
      client.socket.write(post('/stream/x'));
      const received = await client.ended();
      assert.match(received, event, name);
      assert.not.match(received, 'id: 2', name);
      assert.not.match(received, '\r\n0\r\n\r\n', name);
    });
  }
});

test('an answer with a length or in chunks is whole only with its last byte, however its connection ends', async () => {
  for (const { name, headers, body } of plain)
    for (const connection of connections)
      for (const cut of [reset, ended])
        for (let sentBytes = 0; sentBytes <= body.length; sentBytes += 1) {
          const made = await carriedAnswer([...headers, ...connection], body.slice(0, sentBytes), cut);
          const label = `${name}, ${connection[0] ?? 'no word'}, ${cut.name} after ${sentBytes} of ${body.length}`;
          assert.is(made.ending, sentBytes === body.length ? 'end' : 'lost', label);
        }
});

/** Requests that allow for further tries of the next one. */
const earlierRequests = Array.from({ length: 8 }, (_, place) => post('/idem/x', '', [], `e${place}`)).join('');

/** A server that resets an answer without a length after its body. */
const resetAfter =
  (headers: readonly string[], body: string): Serve =>
  (socket, request) => {
    const head = ['HTTP/1.1 200 OK', `Ledgehill-Attempt-Id: ${idIn(request)}`, 'Ledgehill-Server-Seal: s.1'];
    socket.write([...head, ...headers, '', body].join('\r\n'), () =>
      setTimeout(() => reset.cut(socket), waitBeforeCutMs),
    );
  };

test('a client of an answer that was reset gets a failure, where nothing of it was passed on', () =>
  withEdge(resetAfter([], 'hello'), async (edge) => {
    const client = await edge.connect();
    client.socket.write(post('/once/x'));
    assert.match(await client.until('outcome-unknown'), /^HTTP\/1.1 502 /);
  }));

test('a client of a stream that was reset between two events sees it end without the last chunk', () =>
  withEdge(resetAfter([stream], event), async (edge) => {
    const client = await edge.connect();
    client.socket.write(post('/stream/x'));
    const received = await client.ended();
    assert.match(received, event);
    assert.not.match(received, '\r\n0\r\n\r\n');
  }));

/** A client of HTTP/1.0, which gets no chunks. It reads a reset by itself, also where that came together with bytes. */
const askPlainly = async (edge: Edge, target: string) => {
  const connection = (await dialConnection(edge.address, wordUs)).unsafeCoerce();
  const { socket } = connection;
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString('latin1');
  });
  const closed = new Promise<true>((resolve) => socket.once('close', () => resolve(true)));
  socket.write(post(target).replace('HTTP/1.1', 'HTTP/1.0'));
  return {
    pause: connection.pause,
    resume: connection.resume,
    received: () => received,
    until: (text: string) => seen(() => received.includes(text)),
    isReset: async () => {
      assert.ok(await raceTimeout(monotonicClock, closed, wordUs), 'the connection stays open');
      return connection.isBroken();
    },
  };
};

// Guards against: an answer that is broken off looks whole to a client whose answers end with their connection.
test('a client of HTTP/1.0 whose answer was broken off sees its connection reset', () =>
  withEdge(resetAfter([stream], event), async (edge) => {
    const client = await askPlainly(edge, '/stream/x');
    assert.ok(await client.isReset());
    assert.match(client.received(), event);
  }));

test('a client of HTTP/1.0 whose answer is under way when its router ends sees its connection reset', () => {
  const largeBytes = 32 << 20;
  return withEdge(
    (socket, request) => void socket.end(answerTo(request, 'x'.repeat(largeBytes))),
    async (edge) => {
      const client = await askPlainly(edge, '/idem/x');
      await client.until('x');
      client.pause();
      await seen(() => edge.node.router.inFlight() > 0);
      edge.end();
      client.resume();
      assert.ok(await client.isReset());
      assert.ok(client.received().length < largeBytes);
    },
  );
});

test('a client of HTTP/1.0 whose answer is whole sees its connection end in order', () =>
  withEdge(
    (socket, request) => void socket.end(answerTo(request, event, [stream])),
    async (edge) => {
      const client = await askPlainly(edge, '/stream/x');
      assert.not.ok(await client.isReset());
      assert.match(client.received(), event);
    },
  ));

test('a client of what may be repeated gets the whole answer of another try', () => {
  let resets = 0;
  const serve: Serve = (socket, request, place) => {
    if (idIn(request) !== 'a1' || resets > 0) {
      socket.write(answerTo(request, `[${idIn(request)}]`));
      return;
    }
    resets += 1;
    resetAfter([], '[a')(socket, request, place);
  };
  return withEdge(
    serve,
    async (edge) => {
      const client = await edge.connect();
      client.socket.write(earlierRequests);
      await client.until('[e7]');
      client.socket.write(post('/idem/x'));
      assert.match(await client.until('[a1]'), '[a1]');
      assert.is(resets, 1);
    },
    2,
  );
});

test('a page of the list that is cut fails, and no server vanishes by it', async () => {
  const page = JSON.stringify({ servers: [], next_cursor: null });
  for (const [text, isWhole] of [
    [page, true],
    [page.slice(0, -3), false],
  ] as const) {
    const server = await openRawServer((socket) =>
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${text}`, () => setTimeout(() => ended.cut(socket), waitBeforeCutMs)),
    );
    assert.is((await openListSource(server.address).read()).isRight(), isWhole);
    server.close();
  }
});

// Guards against: a page of the list that does not end fills the memory of the node that reads it.
test('a page of the list that does not end fails the poll, whose connection is closed', async () => {
  const piece = chunk(' '.repeat(64 << 10));
  let sentBytes = 0;
  const server = await openRawServer((socket) => {
    const send = (): void => {
      if (socket.destroyed || sentBytes > 64 << 20) return;
      sentBytes += piece.length;
      socket.write(piece, send);
    };
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', send);
  });
  assert.ok((await openListSource(server.address).read()).isLeft());
  await seen(() => server.sockets.every(({ destroyed }) => destroyed));
  assert.ok(sentBytes < 32 << 20, `${sentBytes} bytes were read`);
  server.close();
});

test.run();
