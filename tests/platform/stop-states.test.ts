import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { monotonicNow, type Micros } from '../../src/common/micros.js';
import { stopScheduleOf } from '../../src/process/router/stop-schedule.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { listedAt } from '../router/loopback.js';
import { coreWith, edgeDocument, openEdge, type Edge, type RawClient } from './raw/open-edge.js';
import { openRawServer } from './raw/raw-server.js';
import { answerTo, chunk, event, idIn, post, seen, streamHead, type Serve } from './raw/with-edge.js';

/** The time after which a stopping process is killed. */
const graceUs: Micros = 2_000_000;
const mostAtOnce = 50;
const answerAtUs = stopScheduleOf(graceUs).answerAtUs(mostAtOnce);
const memoryBytes = 16 << 20;
const largeBodyBytes = 1_000_000;
/** What the memory for large bodies admits at once. */
const largeBodiesAtOnce = 3;
const routes = ['/idem/x', '/once/x', '/stream/x', '/resumed/x', '/care/x'] as const;
const timeoutMs = 20_000;

const document = {
  ...edgeDocument,
  routes: edgeDocument.routes.map((route) => ({ ...route, timeout_ms: timeoutMs })),
  limits: { ...edgeDocument.limits, body_max_bytes: largeBodyBytes },
};

const request = (target: string, body = '', id = 'a1'): string =>
  post(target, body, [], id).replace('Budget-Ms: 3000', `Budget-Ms: ${timeoutMs}`);

const withEdge = async (serve: Serve, use: (edge: Edge) => Promise<void>): Promise<void> => {
  const servers = [await openRawServer(serve), await openRawServer(serve)];
  const edge = await openEdge(coreWith(document), true, undefined, memoryBytes, graceUs);
  edge.show(servers.map(({ address }, place) => ({ ...listedAt(`i-${place}`, 'web', 96), address })));
  try {
    await use(edge);
  } finally {
    edge.close();
    for (const server of servers) server.close();
  }
};

/** Stops the node, and answers with what each client received until its connection ended, and when the last one did. */
const stopWith = async (edge: Edge, clients: readonly RawClient[]) => {
  const signalUs = monotonicNow();
  const stopped = edge.stop();
  const received = await Promise.all(clients.map(({ ended }) => ended()));
  const tookUs = monotonicNow() - signalUs;
  await stopped;
  assert.ok(monotonicNow() - signalUs < graceUs, 'the node ends before it would be killed');
  return { received, tookUs };
};

const statusOf = (answer: string): number => Number(answer.slice(9, 12));

/** Whether an answer of the router itself came whole. */
const isWhole = (answer: string): boolean => {
  const headEnd = answer.indexOf('\r\n\r\n');
  const length = Number(/\r\ncontent-length: (\d+)/i.exec(answer.slice(0, headEnd))?.[1] ?? Number.NaN);
  return answer.length - headEnd - 4 === length;
};

const silent: Serve = () => undefined;

const ask = async (edge: Edge, target: string, id: string): Promise<RawClient> => {
  const client = await edge.connect();
  client.socket.write(request(target, '', id));
  return client;
};

/** The second configuration, in which a route is missing. */
const recordWithout = async (name: string): Promise<SetupRecord> => {
  const routesLeft = document.routes.filter((route) => route.name !== name);
  const reply = (await coreWith({ ...document, ver: 2, routes: routesLeft }).ask({ type: 'read' }, 1)).unsafeCoerce();
  if (reply.type !== 'record' || reply.record === undefined) throw new Error('the core has no configuration');
  return { ...reply.record, revision: 2 };
};

/** What a server has sent of its answer when its router stops, none of which was passed on. */
const unansweredStates: readonly (readonly [string, Serve])[] = [
  ['passed on, nothing answered', silent],
  [
    'a head is held back',
    (socket, asked) => socket.write(answerTo(asked, '').replace('Content-Length: 0', 'Content-Length: 10')),
  ],
  [
    'an answer is held back',
    (socket, asked) => socket.write(`${answerTo(asked, '').replace('Content-Length: 0', 'Content-Length: 10')}hello`),
  ],
  ['a stream has no event yet', (socket, asked) => socket.write(`${streamHead(asked)}${chunk(': wait\n\n')}`)],
  [
    'an error is under way',
    (socket, asked) =>
      socket.write(`${answerTo(asked, '', [], '500 Broken').replace('Content-Length: 0', 'Content-Length: 10')}why`),
  ],
];

// Guards against: a stopping router closes connections whose requests wait in a server's queue, without an answer (LOST).
for (const [name, serve] of unansweredStates)
  test(`${name}: each kind of route gets a whole answer that promises nothing, shortly before the end`, () => {
    let passedOn = 0;
    const count: Serve = (socket, asked, place) => {
      passedOn += 1;
      serve(socket, asked, place);
    };
    const isPlain = name.includes('answer is held') || name.includes('head is held');
    const targets = isPlain ? routes.filter((target) => !/stream|resumed/.test(target)) : routes;
    return withEdge(count, async (edge) => {
      const clients = await Promise.all(
        targets.flatMap((target) =>
          Array.from({ length: 8 }, (_, place) => ask(edge, target, `${target.slice(1, 5)}${place}`)),
        ),
      );
      await seen(() => passedOn >= clients.length);
      const { received, tookUs } = await stopWith(edge, clients);
      received.forEach((answer) => {
        assert.is(statusOf(answer), 502, answer);
        assert.ok(isWhole(answer), answer);
      });
      assert.ok(tookUs >= answerAtUs, 'requests have the time that there is');
    });
  });

test('a request that is answered while its router stops gets that answer', () => {
  const answers: (() => void)[] = [];
  const serve: Serve = (socket, asked) => void answers.push(() => socket.write(answerTo(asked, 'late')));
  return withEdge(serve, async (edge) => {
    const clients = await Promise.all(['/idem/x', '/once/x'].map((target) => ask(edge, target, target.slice(1, 5))));
    await seen(() => answers.length === clients.length);
    setTimeout(() => answers.forEach((answer) => answer()), (answerAtUs - 300_000) / 1_000);
    const { received } = await stopWith(edge, clients);
    for (const answer of received) assert.match(answer, /^HTTP\/1.1 200 [^]*late$/);
  });
});

test('an error answer that is kept while another server is tried is the answer in the end', () => {
  let attempts = 0;
  const serve: Serve = (socket, asked) => {
    if (idIn(asked).startsWith('e')) {
      socket.write(answerTo(asked, `[${idIn(asked)}]`));
      return;
    }
    attempts += 1;
    if (attempts === 1) socket.write(answerTo(asked, 'why', [], '500 Broken'));
  };
  return withEdge(serve, async (edge) => {
    const earlier = await edge.connect();
    for (let place = 0; place < 12; place += 1) {
      earlier.socket.write(request('/idem/x', '', `e${place}`));
      await earlier.until(`[e${place}]`);
    }
    const client = await ask(edge, '/idem/x', 'a1');
    await seen(() => attempts === 2);
    const { received } = await stopWith(edge, [client]);
    assert.match(received[0] ?? '', /^HTTP\/1.1 500 [^]*why$/);
  });
});

test('a stream under way goes on as long as can be, and then looks cut', () => {
  const serve: Serve = (socket, asked) => {
    socket.write(streamHead(asked));
    let place = 0;
    const timer = setInterval(() => {
      place += 1;
      socket.write(chunk(event(place)));
    }, 100);
    socket.once('close', () => clearInterval(timer));
  };
  return withEdge(serve, async (edge) => {
    const clients = await Promise.all(
      ['/stream/x', '/resumed/x'].map((target) => ask(edge, target, target.slice(1, 5))),
    );
    await Promise.all(clients.map(({ until }) => until('piece 1')));
    const { received, tookUs } = await stopWith(edge, clients);
    for (const answer of received) {
      assert.match(answer, 'piece 10');
      assert.not.match(answer, '\r\n0\r\n\r\n');
    }
    assert.ok(tookUs >= answerAtUs);
  });
});

test('requests that were not passed on are refused, and say when to come back', () => {
  let passedOn = 0;
  const count: Serve = () => {
    passedOn += 1;
  };
  return withEdge(count, async (edge) => {
    const large = await Promise.all(Array.from({ length: largeBodiesAtOnce }, () => edge.connect()));
    large.forEach(({ socket }, place) => socket.write(request('/idem/x', 'x'.repeat(largeBodyBytes), `l${place}`)));
    await seen(() => passedOn === largeBodiesAtOnce);
    const waits = await edge.connect();
    waits.socket.write(request('/idem/x', 'x'.repeat(largeBodyBytes), 'waits'));
    const half = await edge.connect();
    const halfRequest = request('/idem/x', 'half of it', 'half');
    half.socket.write(halfRequest.slice(0, -5));
    await seen(() => (edge.node.counters.read()['bodies.waiting'] ?? 0) === 1);
    const { received } = await stopWith(edge, [waits, half]);
    for (const answer of received) {
      assert.match(answer, /^HTTP\/1.1 503 [^]*retry-after: /i);
      assert.ok(isWhole(answer), answer);
    }
    assert.is(passedOn, largeBodiesAtOnce);
  });
});

test('requests behind each other on one connection are all answered in order', () =>
  withEdge(silent, async (edge) => {
    const client = await edge.connect();
    client.socket.write(routes.map((target, place) => request(target, '', `b${place}`)).join(''));
    await seen(() => edge.node.router.inFlight() === routes.length);
    const { received } = await stopWith(edge, [client]);
    assert.is(received[0]?.match(/HTTP\/1.1 502 /g)?.length, routes.length);
  }));

test('an answer that is whole, and that its client reads slowly, is written out', () => {
  const body = 'x'.repeat(8 << 20);
  return withEdge(
    (socket, asked) => void socket.write(answerTo(asked, body)),
    async (edge) => {
      const client = await edge.connect();
      client.socket.write(request('/once/x'));
      await client.until('x');
      client.socket.pause();
      setTimeout(() => client.socket.resume(), (answerAtUs - 500_000) / 1_000);
      const { received } = await stopWith(edge, [client]);
      assert.ok(received[0]?.endsWith(body));
    },
  );
});

test('a configuration that takes the route away, and a list without the server, leave requests in its queue their answers', () => {
  const answers: (() => void)[] = [];
  const serve: Serve = (socket, asked) => void answers.push(() => socket.write(answerTo(asked, 'whole')));
  return withEdge(serve, async (edge) => {
    const client = await ask(edge, '/once/x', 'a1');
    await seen(() => answers.length === 1);
    edge.show([]);
    edge.node.spread.offerSetup(await recordWithout('once'));
    await seen(() => {
      const read = edge.node.counters.read();
      return read['list.version'] === 2 && read['setup.revision'] === 2;
    });
    const stopping = stopWith(edge, [client]);
    setTimeout(() => answers.forEach((answer) => answer()), (answerAtUs - 300_000) / 1_000);
    assert.match((await stopping).received[0] ?? '', /^HTTP\/1.1 200 [^]*whole$/);
  });
});

test.run();
