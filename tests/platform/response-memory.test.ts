import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { listedAt } from '../router/loopback.js';
import { coreWith, edgeDocument, openEdge, type Edge, type RawClient } from './raw/open-edge.js';
import { openRawServer } from './raw/raw-server.js';
import { answerTo, chunk, event, idIn, post, seen, streamHead, type Serve } from './raw/with-edge.js';

const memoryBytes = 16 << 20;
/** A tenth of the memory is for responses that can not be passed on yet, a quarter of that for one event. */
const responseBytes = Math.floor(memoryBytes / 10);
const maxEventBytes = Math.floor(memoryBytes / 40);
/** Requests that allow for further attempts of others. */
const earlierRequests = 10;

const withSmallEdge = async (serve: Serve, use: (edge: Edge) => Promise<void>): Promise<void> => {
  const servers = [await openRawServer(serve), await openRawServer(serve)];
  const edge = await openEdge(coreWith(edgeDocument), true, undefined, memoryBytes);
  edge.show(servers.map(({ address }, place) => ({ ...listedAt(`i-${place}`, 'web', 96), address })));
  try {
    await use(edge);
  } finally {
    edge.close();
    for (const server of servers) server.close();
  }
};

const counted = (edge: Edge, name: string): number => edge.node.counters.read()[name] ?? 0;
const isHeld = (edge: Edge, bytes: number): boolean => counted(edge, 'responses.heldBytes') >= bytes;
const isComplete = (client: RawClient): boolean => client.received().endsWith('\r\n0\r\n\r\n');

const answerEarlierRequests = async (edge: Edge): Promise<void> => {
  const client = await edge.connect();
  for (let place = 0; place < earlierRequests; place += 1) {
    client.socket.write(post('/idem/x', '', [], `e${place}`));
    await client.until(`[e${place}]`);
  }
};

/** Whether a client that tries again after a refusal is served. */
const isServedAgain = async (edge: Edge): Promise<boolean> => {
  for (let place = 0; place < 100; place += 1) {
    const client = await ask(edge, '/idem/x', `e${place}`);
    await seen(() => /\[e\d+\]|"error"/.test(client.received()));
    if (client.received().includes(`[e${place}]`)) return true;
    client.socket.destroy();
    await delay(monotonicClock, 50_000);
  }
  return false;
};

const ask = async (edge: Edge, target: string, id: string): Promise<RawClient> => {
  const client = await edge.connect();
  client.socket.write(post(target, '', [], id));
  return client;
};

/** Sends bytes that end no event, as long as the connection takes them. */
const sendWithoutEnd = (socket: Socket, bytes: number): void => {
  const piece = 'x'.repeat(10_000);
  for (let sent = 0; sent < bytes; sent += piece.length) socket.write(chunk(piece));
};

/** Answers what a test is not about. */
const serveOthers = (socket: Socket, request: string): boolean => {
  const isOther = request.startsWith('POST /idem/x') && idIn(request).startsWith('e');
  if (isOther) socket.write(answerTo(request, `[${idIn(request)}]`));
  return isOther;
};

// Guards against: an event that does not end takes a router over its memory.
test('an event beyond the limit of one is not passed on, and its stream looks cut', () => {
  const serve: Serve = (socket, request) => {
    socket.write(streamHead(request) + chunk(event(1)));
    sendWithoutEnd(socket, 4 * maxEventBytes);
  };
  return withSmallEdge(serve, async (edge) => {
    const client = await ask(edge, '/stream/x', 'a1');
    const received = await client.ended();
    assert.match(received, event(1));
    assert.not.match(received, 'xxx');
    assert.not.ok(isComplete(client));
    assert.is(counted(edge, 'tries.failed.oversized-event'), 1);
    assert.is(counted(edge, 'responses.heldBytes'), 0);
  });
});

test('a stream that may be resumed goes on at another server from its last whole event', () => {
  let spoiled = 0;
  const serve: Serve = (socket, request) => {
    if (serveOthers(socket, request)) return;
    const after = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
    socket.write(streamHead(request));
    if (after === 0) {
      spoiled += 1;
      socket.write(chunk(event(1)));
      sendWithoutEnd(socket, 4 * maxEventBytes);
    } else socket.write(`${chunk(event(after + 1))}0\r\n\r\n`);
  };
  return withSmallEdge(serve, async (edge) => {
    await answerEarlierRequests(edge);
    const client = await ask(edge, '/resumed/x', 'a1');
    const received = await client.until('\r\n0\r\n\r\n');
    assert.equal(received.match(/piece \d/g), ['piece 1', 'piece 2']);
    assert.ok(isComplete(client));
    assert.is(spoiled, 1);
  });
});

test('a long event inside the limit passes, in one chunk or in many', () => {
  const long = `id: 1\ndata: ${'y'.repeat(maxEventBytes - 100)}\n\n`;
  const serve: Serve = (socket, request) => {
    socket.write(streamHead(request));
    const sizes = request.includes('/many') ? 1_000 : long.length;
    for (let from = 0; from < long.length; from += sizes) socket.write(chunk(long.slice(from, from + sizes)));
    socket.write('0\r\n\r\n');
  };
  return withSmallEdge(serve, async (edge) => {
    for (const target of ['/stream/one', '/stream/many']) {
      const client = await ask(edge, target, target.slice(-3));
      const received = await client.until('\r\n0\r\n\r\n');
      const body = received.slice(received.indexOf('\r\n\r\n'));
      assert.is(body.match(/y/g)?.length, maxEventBytes - 100, target);
    }
  });
});

test('comments without an event are bounded like an event', () => {
  const serve: Serve = (socket, request) => {
    socket.write(streamHead(request));
    for (let sent = 0; sent < 4 * maxEventBytes; sent += 1_000) socket.write(chunk(`:${'c'.repeat(1_000)}\n\n`));
  };
  return withSmallEdge(serve, async (edge) => {
    const client = await ask(edge, '/stream/x', 'a1');
    assert.match(await client.until('outcome-unknown'), /^HTTP\/1.1 502 /);
  });
});

/** What a router may hold of a response, until what, and what the client sees once the sum of all exceeds its memory. */
type HeldResponse = {
  readonly name: string;
  readonly target: string;
  /** Sends so many bytes that the router holds. */
  readonly send: (socket: Socket, request: string, bytes: number) => void;
  readonly largeBytes: number;
  readonly isEvicted: (client: RawClient) => boolean;
};

const heldResponses: readonly HeldResponse[] = [
  {
    name: 'an event that has not ended',
    target: '/stream/x',
    send: (socket, request, bytes) => {
      socket.write(streamHead(request) + chunk(event(1)));
      sendWithoutEnd(socket, bytes);
    },
    largeBytes: maxEventBytes - 50_000,
    isEvicted: (client) => client.socket.destroyed && !isComplete(client),
  },
  {
    name: 'an answer that is held back so that it can be retried',
    target: '/once/x',
    send: (socket, request, bytes) => {
      const head = answerTo(request, '').replace('Content-Length: 0', `Content-Length: ${2 * bytes}`);
      socket.write(head + 'x'.repeat(bytes));
    },
    largeBytes: 250_000,
    isEvicted: (client) => client.received().startsWith('HTTP/1.1 502 '),
  },
  {
    name: 'an error answer',
    target: '/once/x',
    send: (socket, request, bytes) => {
      const head = answerTo(request, '', [], '500 Broken').replace('Content-Length: 0', `Content-Length: ${2 * bytes}`);
      socket.write(head + 'x'.repeat(bytes));
    },
    largeBytes: 250_000,
    isEvicted: (client) => client.received().startsWith('HTTP/1.1 502 '),
  },
];

for (const { name, target, send, largeBytes, isEvicted } of heldResponses)
  test(`${name}: the sum over all responses is bounded, and the largest goes first`, () => {
    const smallBytes = 20_000;
    const serve: Serve = (socket, request) =>
      send(socket, request, idIn(request).startsWith('large') ? largeBytes : smallBytes);
    return withSmallEdge(serve, async (edge) => {
      const small = await Promise.all(Array.from({ length: 4 }, (_, place) => ask(edge, target, `small${place}`)));
      await seen(() => isHeld(edge, 4 * smallBytes));
      const large = await Promise.all(
        Array.from({ length: 1 + Math.ceil(responseBytes / largeBytes) }, (_, place) =>
          ask(edge, target, `large${place}`),
        ),
      );
      await seen(() => large.some(isEvicted));
      assert.ok(counted(edge, 'responses.evicted') > 0);
      assert.ok(counted(edge, 'responses.heldBytes') <= responseBytes);
      assert.ok(
        large.some((client) => !isEvicted(client)),
        'not all of them go',
      );
      assert.not.ok(small.some(isEvicted));
    });
  });

test('what clients do not read is bounded in sum; the router goes on, and gives the memory back', () => {
  const bodyBytes = 250_000;
  /** More than the kernel takes for a client that does not read, and so held by the router. */
  const clients = 200;
  const serve: Serve = (socket, request) => {
    if (!serveOthers(socket, request)) socket.write(answerTo(request, 'x'.repeat(bodyBytes)));
  };
  return withSmallEdge(serve, async (edge) => {
    const slow = await Promise.all(
      Array.from({ length: clients }, async (_, place) => {
        const client = await edge.connect();
        client.socket.pause();
        for (let behind = 0; behind < 16; behind += 1)
          client.socket.write(post('/idem/x', '', [], `s${place}-${behind}`));
        return client;
      }),
    );
    await seen(() => counted(edge, 'responses.evicted') > 0);
    assert.ok(counted(edge, 'responses.heldBytes') <= responseBytes);
    assert.ok(await isServedAgain(edge), 'another client is not served');
    for (const { socket } of slow) socket.destroy();
    await seen(() => counted(edge, 'responses.heldBytes') === 0);
  });
});

test.run();
