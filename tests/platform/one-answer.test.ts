import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Edge, RawClient } from './raw/open-edge.js';
import type { RawServer } from './raw/raw-server.js';
import { answerTo, chunk, event, idIn, post, seen, streamHead, withEdge, type Serve } from './raw/with-edge.js';

/** What a client reads as a promise that its request has not run. */
const promise = /^HTTP\/1.1 (408|421|429|503) /;

const sentTo = (received: string, id: string): number =>
  received.match(new RegExp(`attempt-id: ${id}\\r\\n`, 'gi'))?.length ?? 0;

/** Earlier requests that leave a connection at rest at each server, and allow for more tries. */
const sendEarlier = async (edge: Edge): Promise<RawClient> => {
  const client = await edge.connect();
  client.socket.write(Array.from({ length: 8 }, (_, place) => post('/idem/x', '', [], `e${place}`)).join(''));
  await client.until('[e7]');
  return client;
};

test('an idle connection that the server has forgotten: what may not be repeated is neither sent again nor promised', () => {
  const used = new Set<Socket>();
  const serve: Serve = (socket, request) => {
    if (idIn(request) !== 'a1') socket.write(answerTo(request, `[${idIn(request)}]`));
    else {
      assert.ok(used.has(socket), 'it goes over a connection that rested');
      socket.resetAndDestroy();
    }
    used.add(socket);
  };
  const use = async (edge: Edge, first: RawServer, second: RawServer): Promise<void> => {
    const client = await sendEarlier(edge);
    client.socket.write(post('/care/x', 'body', [], 'a1'));
    await seen(() => /HTTP\/1.1 502 /.test(client.received()));
    assert.is(sentTo(first.received() + second.received(), 'a1'), 1);
  };
  return withEdge(serve, use, 2);
});

test('an idle connection that the server has forgotten: what may be repeated is answered by another try', () => {
  let hasReset = false;
  const serve: Serve = (socket, request) => {
    if (idIn(request) === 'a1' && !hasReset) {
      hasReset = true;
      socket.resetAndDestroy();
    } else socket.write(answerTo(request, `[${idIn(request)}]`));
  };
  const use = async (edge: Edge): Promise<void> => {
    const client = await sendEarlier(edge);
    client.socket.write(post('/idem/x', '', [], 'a1'));
    assert.match(await client.until('[a1]'), '[a1]');
    assert.ok(hasReset);
  };
  return withEdge(serve, use, 2);
});

test('a server that is silent past the deadline: no promise, no second send, and its late answer goes to nobody', () => {
  let answerLate = (): void => undefined;
  const serve: Serve = (socket, request, place) => {
    if (place > 0) socket.write(answerTo(request, `[${idIn(request)}]`));
    else answerLate = () => void (socket.destroyed || socket.write(answerTo(request, 'late')));
  };
  return withEdge(serve, async (edge, server) => {
    const client = await edge.connect();
    client.socket.write(post('/brief/x', '', [], 'a1'));
    const first = await client.until('\r\n\r\n');
    assert.not.match(first, promise);
    assert.is(sentTo(server.received(), 'a1'), 1);
    const next = await edge.connect();
    answerLate();
    next.socket.write(post('/once/x', '', [], 'a2'));
    const second = await next.until('[a2]');
    assert.not.match(second, 'late');
    assert.not.match(client.received(), 'late');
    assert.is(server.sockets.length, 2, 'the connection of the silent request was not used again');
  });
});

test('a late answer in the place of the next one is given to nobody', () =>
  withEdge(
    (socket, request, place) => {
      if (place === 0) socket.write(answerTo(request, 'own'));
      else socket.write(answerTo('Ledgehill-Attempt-Id: a1', 'again'));
    },
    async (edge, server) => {
      const client = await edge.connect();
      client.socket.write(post('/once/x', '', [], 'a1'));
      await client.until('own');
      client.socket.write(post('/once/x', '', [], 'a2'));
      await seen(() => /HTTP\/1.1 502 /.test(client.received()));
      assert.not.match(client.received(), 'again');
      assert.is(sentTo(server.received(), 'a2'), 1);
    },
  ));

test('an address that another server has taken over: its 421 vouches that nothing ran, and so may the refusal', () =>
  withEdge(
    (socket, request) => socket.write(answerTo(request, '', [], '421 Misdirected Request')),
    async (edge, server) => {
      const client = await edge.connect();
      client.socket.write(post('/brief/x', '', [], 'a1'));
      assert.match(await client.until('\r\n\r\n'), /^HTTP\/1.1 (503|429) [^]*retry-after/i);
      assert.match(server.received(), /ledgehill-want-server: i-0\r\n/i);
      assert.is(sentTo(server.received(), 'a1'), 1);
    },
  ));

test('a client that goes in the middle of a stream ends it at the server, and its slot serves the next one alone', () => {
  let writeMore = (): void => undefined;
  const serve: Serve = (socket, request, place) => {
    if (place > 0) {
      socket.write(answerTo(request, `[${idIn(request)}]`));
      return;
    }
    socket.write(`${streamHead(request)}${chunk(event(1))}`);
    writeMore = () => void (socket.destroyed || socket.write(chunk(event(2))));
  };
  return withEdge(serve, async (edge, server) => {
    const first = await edge.connect();
    first.socket.write(post('/stream/x', '', [], 'a1'));
    await first.until(event(1));
    first.socket.destroy();
    const next = await edge.connect();
    next.socket.write(post('/once/x', '', [], 'a2'));
    writeMore();
    const text = await next.until('[a2]');
    assert.not.match(text, 'piece');
    await seen(() => server.sockets[0]?.destroyed === true);
    assert.is(edge.node.router.inFlight(), 0);
  });
});

test('a request that comes while a stream is under way is answered after its end', () => {
  let endStream = (): void => undefined;
  const serve: Serve = (socket, request) => {
    if (idIn(request) === 'a2') {
      socket.write(answerTo(request, '[a2]'));
      return;
    }
    socket.write(`${streamHead(request)}${chunk(event(1))}`);
    endStream = () => void socket.write(`${chunk(event(2))}0\r\n\r\n`);
  };
  return withEdge(serve, async (edge, server) => {
    const client = await edge.connect();
    client.socket.write(post('/stream/x', '', [], 'a1'));
    await client.until(event(1));
    client.socket.write(post('/idem/x', '', [], 'a2'));
    await seen(() => sentTo(server.received(), 'a2') === 1);
    assert.not.match(client.received(), 'a2');
    endStream();
    const text = await client.until('[a2]');
    assert.ok(text.indexOf(event(2)) > 0 && text.indexOf(event(2)) < text.indexOf('HTTP/1.1 200', 1));
  });
});

test('a stream that breaks off ends its connection, and no answer to a later request follows it', () => {
  let breakOff = (): void => undefined;
  const serve: Serve = (socket, request) => {
    if (idIn(request) === 'a2') {
      socket.write(answerTo(request, '[a2]'));
      return;
    }
    socket.write(`${streamHead(request)}${chunk(event(1))}`);
    breakOff = () => void socket.resetAndDestroy();
  };
  return withEdge(serve, async (edge, server) => {
    const client = await edge.connect();
    client.socket.write(post('/stream/x', '', [], 'a1'));
    await client.until(event(1));
    client.socket.write(post('/idem/x', '', [], 'a2'));
    await seen(() => sentTo(server.received(), 'a2') === 1);
    breakOff();
    const text = await client.ended();
    assert.is(text.match(/HTTP\/1.1/g)?.length, 1, text);
    assert.not.match(text, 'a2');
  });
});

test('a client that repeats under another id gets the answer to that id, also while the first try is at work', () => {
  let answerFirst = (): void => undefined;
  const serve: Serve = (socket, request) => {
    if (idIn(request) === 'a1') answerFirst = () => void (socket.destroyed || socket.write(answerTo(request, '[a1]')));
    else socket.write(answerTo(request, `[${idIn(request)}]`));
  };
  return withEdge(serve, async (edge, server) => {
    const first = await edge.connect();
    first.socket.write(post('/idem/x', '', [], 'a1'));
    await seen(() => sentTo(server.received(), 'a1') === 1);
    const again = await edge.connect();
    again.socket.write(post('/idem/x', '', [], 'a1-2'));
    assert.not.match(await again.until('[a1-2]'), '[a1]');
    answerFirst();
    assert.not.match(await first.until('[a1]'), '[a1-2]');
  });
});

test.run();
