import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { coreWith, edgeDocument, openEdge, type Edge } from './raw/open-edge.js';
import { openRawServer, type RawServer } from './raw/raw-server.js';
import { answerTo, chunk, idIn, post, seen, type Serve } from './raw/with-edge.js';
import { listedAt } from '../router/loopback.js';

const memoryBytes = 16 << 20;
const bodyBytes = 1_000_000;
/** A fifth of the memory is for large bodies. */
const mostAtOnce = 3;
const document = { ...edgeDocument, limits: { ...edgeDocument.limits, body_max_bytes: bodyBytes } };
const largeBody = 'x'.repeat(bodyBytes);

const withSmallEdge = async (serve: Serve, use: (edge: Edge, server: RawServer) => Promise<void>): Promise<void> => {
  const server = await openRawServer(serve);
  const edge = await openEdge(coreWith(document), true, undefined, memoryBytes);
  edge.show([{ ...listedAt('i-0', 'web', 1), address: server.address }]);
  try {
    await use(edge, server);
  } finally {
    edge.close();
    server.close();
  }
};

const held = (edge: Edge): number => edge.node.counters.read()['bodies.heldBytes'] ?? 0;
const waiting = (edge: Edge): number => edge.node.counters.read()['bodies.waiting'] ?? 0;

/** Answers large requests once the test lets it, all others at once. */
const openHeldAnswers = () => {
  const answers: (() => void)[] = [];
  const serve: Serve = (socket, request) => {
    const answer = (): void => void socket.write(answerTo(request, `[${idIn(request)}]`));
    if (request.length < bodyBytes) answer();
    else answers.push(answer);
  };
  return { serve, count: () => answers.length, releaseOne: () => answers.shift()?.() };
};

// Guards against: many callers with large bodies, each within the limits, take a router over its memory.
test('bodies beyond the memory for them wait unread, are all answered in the end, and small requests pass them', () => {
  const answers = openHeldAnswers();
  return withSmallEdge(answers.serve, async (edge) => {
    const callers = await Promise.all(Array.from({ length: 8 }, () => edge.connect()));
    callers.forEach(({ socket }, place) => socket.write(post('/idem/x', largeBody, [], `large${place}`)));
    await seen(() => answers.count() === mostAtOnce && waiting(edge) === callers.length - mostAtOnce);
    assert.ok(held(edge) <= memoryBytes / 5);
    const small = await edge.connect();
    small.socket.write(post('/idem/x', 'x', [], 'small'));
    assert.match(await small.until('[small]'), '[small]');
    assert.is(answers.count(), mostAtOnce);
    for (const { until } of callers) {
      await seen(() => answers.count() > 0);
      answers.releaseOne();
      void until('[');
    }
    await Promise.all(callers.map(({ until }) => until('[large')));
    await seen(() => held(edge) === 0);
  });
});

test('a body that has no memory for half of its time is refused, has not run, and says when to come back', () => {
  const answers = openHeldAnswers();
  return withSmallEdge(answers.serve, async (edge, server) => {
    const callers = await Promise.all(Array.from({ length: mostAtOnce }, () => edge.connect()));
    callers.forEach(({ socket }, place) => socket.write(post('/idem/x', largeBody, [], `large${place}`)));
    await seen(() => answers.count() === mostAtOnce);
    const late = await edge.connect();
    late.socket.write(post('/idem/x', largeBody, [], 'late').replace('Budget-Ms: 3000', 'Budget-Ms: 100'));
    assert.match(await late.until('over-memory'), /^HTTP\/1.1 503 [^]*retry-after: 1/i);
    late.socket.write(post('/idem/x', 'x', [], 'next'));
    assert.match(await late.until('[next]'), '[next]');
    assert.not.match(server.received(), 'attempt-id: late');
  });
});

// Guards against: a caller is refused while it still sends, and a reset takes the refusal away.
test('a caller that is refused before its body was read gets the refusal, also on a connection that ends with it', () => {
  const answers = openHeldAnswers();
  return withSmallEdge(answers.serve, async (edge) => {
    const callers = await Promise.all(Array.from({ length: mostAtOnce }, () => edge.connect()));
    callers.forEach(({ socket }, place) => socket.write(post('/idem/x', largeBody, [], `large${place}`)));
    await seen(() => answers.count() === mostAtOnce);
    const late = await edge.connect();
    late.socket.write(
      post('/idem/x', largeBody, ['Connection: close'], 'late').replace('Budget-Ms: 3000', 'Budget-Ms: 100'),
    );
    assert.match(await late.ended(), /^HTTP\/1.1 503 [^]*over-memory/);
  });
});

test('bodies whose callers leave, while they are read or wait, give their memory back', () => {
  const answers = openHeldAnswers();
  return withSmallEdge(answers.serve, async (edge) => {
    const callers = await Promise.all(Array.from({ length: 6 }, () => edge.connect()));
    callers.forEach(({ socket }, place) => {
      const bytes = post('/idem/x', largeBody, [], `large${place}`);
      socket.write(bytes.slice(0, bytes.length / 2));
    });
    await seen(() => waiting(edge) === callers.length - mostAtOnce);
    for (const { socket } of callers) socket.destroy();
    await seen(() => held(edge) === 0 && waiting(edge) === 0);
  });
});

test('a body in chunks holds what it has, and is passed on unchanged', () => {
  const serve: Serve = (socket, request) =>
    socket.write(answerTo(request, `[${request.length - request.indexOf('\r\n\r\n') - 4}]`));
  return withSmallEdge(serve, async (edge, server) => {
    const client = await edge.connect();
    const pieces = Array.from({ length: 30 }, (_, place) => `${place % 10}`.repeat(20_000 + place));
    client.socket.write(
      post('/idem/x', '', ['Transfer-Encoding: chunked']).replace(/Content-Length: 0\r\n/, '') +
        pieces.map(chunk).join('') +
        '0\r\n\r\n',
    );
    assert.match(await client.until(']'), `[${pieces.join('').length}]`);
    assert.ok(server.received().endsWith(pieces.join('')));
    await seen(() => held(edge) === 0);
  });
});

test('a stop refuses the bodies that wait for memory', () => {
  const answers = openHeldAnswers();
  return withSmallEdge(answers.serve, async (edge) => {
    const callers = await Promise.all(Array.from({ length: mostAtOnce + 1 }, () => edge.connect()));
    callers.forEach(({ socket }, place) => socket.write(post('/idem/x', largeBody, [], `large${place}`)));
    await seen(() => answers.count() === mostAtOnce && waiting(edge) === 1);
    const stopped = edge.stop();
    await seen(() => callers.some(({ received }) => received().includes('over-memory')));
    for (let place = 0; place < mostAtOnce; place += 1) answers.releaseOne();
    await Promise.all(callers.map(({ ended }) => ended()));
    await stopped;
  });
});

test.run();
