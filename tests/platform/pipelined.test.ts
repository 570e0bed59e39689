import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Edge, RawClient } from './raw/open-edge.js';
import type { RawServer } from './raw/raw-server.js';
import { answerTo, chunk, event, idIn, post, seen, streamHead, withEdge, type Serve } from './raw/with-edge.js';

/** Answers each request once the test lets it; some at once. */
const openHeldAnswers = (atOnce: (id: string) => boolean = () => false) => {
  const held: (() => void)[] = [];
  const serve: Serve = (socket, request) => {
    const answer = (): void => void (socket.destroyed || socket.write(answerTo(request, `[${idIn(request)}]`)));
    if (atOnce(idIn(request))) answer();
    else held.push(answer);
  };
  return { serve, count: () => held.length, release: () => held.splice(0).forEach((answer) => answer()) };
};

const send = (client: RawClient, ids: readonly string[]): void =>
  void client.socket.write(ids.map((id) => post('/idem/x', '', [], id)).join(''));

const answersIn = (text: string): readonly string[] => [...text.matchAll(/\[(\w+)\]/g)].map(([, id = '']) => id);

const passedOn = ({ received }: RawServer): readonly string[] =>
  [...received().matchAll(/attempt-id: (\w+)/gi)].map(([, id = '']) => id);

// Guards against: a stopping router passes on several requests of one connection and drops all answers but the first.
test('a stop while several requests of one connection are under way: all are answered, and the last answer closes', () => {
  const held = openHeldAnswers();
  return withEdge(held.serve, async (edge) => {
    const client = await edge.connect();
    send(client, ['a1', 'a2', 'a3']);
    await seen(() => held.count() === 3);
    edge.retire();
    held.release();
    const text = await client.ended();
    assert.equal(answersIn(text), ['a1', 'a2', 'a3']);
    assert.is(text.match(/connection: close/gi)?.length, 1);
  });
});

test('requests that come together after a stop has begun are all answered', () => {
  const held = openHeldAnswers(() => true);
  return withEdge(held.serve, async (edge) => {
    const client = await edge.connect();
    send(client, ['a0']);
    await client.until('[a0]');
    const stopped = edge.stop();
    send(client, ['a1', 'a2', 'a3']);
    assert.equal(answersIn(await client.ended()), ['a0', 'a1', 'a2', 'a3']);
    await stopped;
  });
});

// Guards against: a request runs whose answer can not be given, since an earlier answer closes its connection.
test('a request behind an answer that closes the connection is not passed on', () => {
  let endStream = (): void => undefined;
  const serve: Serve = (socket, request) => {
    if (idIn(request) !== 'a1') {
      socket.write(answerTo(request, `[${idIn(request)}]`));
      return;
    }
    socket.write(`${streamHead(request)}${chunk(event(1))}`);
    endStream = () => void socket.write(`${chunk(event(2))}0\r\n\r\n`);
  };
  return withEdge(serve, async (edge, server) => {
    edge.retire();
    const client = await edge.connect();
    client.socket.write(post('/stream/x', '', [], 'a1'));
    assert.match(await client.until(event(1)), /connection: close/i);
    send(client, ['a2']);
    await seen(() => (edge.node.counters.read()['http.behindLast'] ?? 0) === 1);
    endStream();
    assert.match(await client.ended(), event(2));
    assert.equal(passedOn(server), ['a1']);
  });
});

test('a request behind one that is too large is not passed on, and those before it are answered', () => {
  const held = openHeldAnswers();
  return withEdge(held.serve, async (edge, server) => {
    const client = await edge.connect();
    send(client, ['a1']);
    client.socket.write(`${post('/idem/x', 'x'.repeat(2_000), [], 'a2')}${post('/idem/x', '', [], 'a3')}`);
    await seen(() => held.count() === 1 && (edge.node.counters.read()['http.behindLast'] ?? 0) === 1);
    held.release();
    const text = await client.ended();
    assert.equal(answersIn(text), ['a1']);
    assert.match(text, /HTTP\/1.1 413 /);
    assert.equal(passedOn(server), ['a1']);
  });
});

// Guards against: answers are lost because the connection behind them brings what is no request, or one that is late.
for (const [what, bytes] of [
  ['bytes that are no request', 'no request\r\n\r\n'],
  ['half a request that is never finished', 'POST /idem/x HTTP/1.1\r\nHost: a.exa'],
] as const)
  test(`${what} behind requests that are under way: these are answered first`, () => {
    const held = openHeldAnswers();
    return withEdge(held.serve, async (edge) => {
      const { record } = edge.node.router.view();
      if (record?.setup.callers === undefined) throw new Error('no configuration is in force');
      const callers = { ...record.setup.callers, headUs: 50_000 };
      edge.node.spread.offerSetup({ ...record, revision: record.revision + 1, setup: { ...record.setup, callers } });
      const client = await edge.connect();
      send(client, ['a1', 'a2']);
      client.socket.write(bytes);
      const faults = (): number =>
        Object.entries(edge.node.counters.read()).reduce(
          (sum, [name, count]) => sum + (name.startsWith('http.bad.') ? count : 0),
          0,
        );
      await seen(() => held.count() === 2 && faults() > 0);
      held.release();
      assert.equal(answersIn(await client.ended()), ['a1', 'a2']);
    });
  });

const largeAnswer = 'y'.repeat(200_000);
const manyAnswers = 60;

// Guards against: answers that a slow reader has not taken yet are cut when the router stops.
test('a stop while a client is slow to read its answers: each arrives whole', () => {
  const serve: Serve = (socket: Socket, request) => {
    socket.write(answerTo(request, `${largeAnswer}[${idIn(request)}]`));
  };
  const use = async (edge: Edge): Promise<void> => {
    const client = await edge.connect();
    client.socket.pause();
    const ids = Array.from({ length: manyAnswers }, (_, place) => `s${place}`);
    send(client, ids);
    await seen(() => (edge.node.counters.read()['exchanges.done'] ?? 0) > manyAnswers / 2);
    await seen(() => edge.node.router.inFlight() === 0);
    const taken = edge.node.counters.read()['exchanges.done'] ?? 0;
    const idle = await edge.connect();
    const stopped = edge.stop();
    await idle.ended();
    client.socket.resume();
    const text = await client.ended();
    assert.equal(answersIn(text).slice(0, taken), ids.slice(0, taken));
    await stopped;
  };
  return withEdge(serve, use);
});

// Guards against: requests that wait behind another on their connection run on after their client has left.
test('a client that leaves takes all its requests with it, those that wait for an earlier answer too', () => {
  const held = openHeldAnswers();
  return withEdge(held.serve, async (edge) => {
    const client = await edge.connect();
    send(client, ['a1', 'a2', 'a3']);
    await seen(() => held.count() === 3);
    client.socket.destroy();
    await seen(() => edge.node.router.inFlight() === 0);
    assert.is(edge.node.counters.read()['exchanges.abandoned'], 3);
  });
});

test.run();
