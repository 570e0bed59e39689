import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { forwardOpaque } from '../../src/router/delivery/forward-opaque.js';
import { monitorExchange } from '../../src/router/guarantees/exchange-monitor.js';
import type { ClientLink } from '../../src/router/delivery/client-link.js';
import type { DeliveryResult } from '../../src/router/delivery/delivery-result.js';
import type { Continuation } from '../../src/router/exchange/continuation.js';
import type { OpaqueExchange } from '../../src/router/opaque/opaque-exchange.js';
import type { OpaqueResponseHead } from '../../src/servers/link/opaque-response-head.js';
import type { OpaqueResponseListener } from '../../src/servers/link/opaque-response-listener.js';
import type { ServerLink } from '../../src/servers/link/server-link.js';
import { startPosition } from '../../src/router/event-stream/stream-position.js';
import { unmeteredHold } from '../../src/router/exchange/quota-hold.js';
import { openCounters } from '../../src/process/counters.js';
import { openResponseMemory } from '../../src/process/memory/response-memory.js';
import { openSlab } from '../../src/router/slab/slab.js';

const exchange: OpaqueExchange = {
  name: 'n1',
  host: 'h',
  path: '/p/',
  method: 'POST',
  target: '/p/',
  headers: [],
  body: Buffer.from('body'),
  lastEventId: undefined,
  opening: [],
  readTokens: 0,
  writeTokens: 0,
  budgetUs: 1_000_000,
};

const successHead: OpaqueResponseHead = {
  status: 200,
  headers: ['A', 'b'],
  ran: true,
  sealed: true,
  isEventStream: true,
};

/** A client link that records what is written to it. */
const openRecordingClient = () => {
  const written: string[] = [];
  const client: ClientLink = {
    opaque: {
      writeHead: ({ status }) => void written.push(`begin ${status}`),
      write: (bytes) => {
        written.push(Buffer.from(bytes).toString());
        return true;
      },
      onDrain: () => undefined,
      pendingBytes: () => 0,
      abort: () => void written.push('abort'),
      end: () => void written.push('end'),
      whole: ({ status }, body) => void written.push(`whole ${status} ${Buffer.from(body).toString()}`),
    },
    isGone: () => false,
    onGone: () => undefined,
    piece: () => Promise.resolve(false),
    end: () => undefined,
    receipt: () => undefined,
    refuse: () => undefined,
    unknown: () => undefined,
    breakOff: () => undefined,
  };
  return { written, client };
};

const continuationOf = (client: ClientLink, streams: boolean): Continuation =>
  openSlab<Continuation>().put((ticket) => ({
    handle: ticket,
    exchange: 'e1',
    rule: {
      kind: 'k',
      service: 's',
      tier: 't',
      repeatable: true,
      resumable: true,
      streams,
      budgetUs: 1,
      firstPieceUs: 1,
      silenceUs: 1,
    },
    apiKey: undefined,
    access: { type: 'open' },
    quota: unmeteredHold,
    isModel: true,
    body: { kind: 'k', budgetUs: 1_000_000 },
    opaque: exchange,
    dueUs: 1,
    client: client,
    watch: monitorExchange(client, { exchange: 'e1', repeatable: true }, { broken: () => undefined }),
    claimedKey: undefined,
    stream: { pieces: 0, running: undefined, dueUs: 0, position: startPosition(undefined), errorResponse: undefined },
  }));

type Server = (listener: OpaqueResponseListener) => void;

const runAttempt = (continuation: Continuation, server: Server): Promise<DeliveryResult> => {
  const startCarriage: NonNullable<ServerLink['forward']> = (_order, listener) => {
    queueMicrotask(() => server(listener));
    return { pause: () => undefined, resume: () => undefined, cancel: () => undefined };
  };
  const link: ServerLink = {
    key: 'k',
    isOpen: () => true,
    close: () => undefined,
    probe: () => Promise.resolve(true),
    deliver: () => Promise.reject(new Error('not here')),
    forward: startCarriage,
  };
  const order = { exchange, budgetUs: 1, resumeAfter: undefined, urgency: undefined };
  return forwardOpaque(
    continuation,
    link,
    startCarriage,
    order,
    new AbortController().signal,
    openResponseMemory(1 << 24, openCounters()),
    {
      piece: () => undefined,
      load: () => undefined,
    },
  );
};

const eventText = (id: number): string => `id: ${id}\ndata: piece\n\n`;
const event = (id: number): Buffer => Buffer.from(eventText(id));

test('a response that is not streamed is forwarded whole, with its status and headers', async () => {
  const { written, client } = openRecordingClient();
  const end = await runAttempt(continuationOf(client, false), (listener) => {
    listener.head(successHead);
    listener.data(Buffer.from('one'));
    listener.data(Buffer.from(' two'));
    listener.end();
  });
  assert.is(end.type, 'done');
  assert.equal(written, ['whole 200 one two']);
});

test('nothing of an unstreamed response is forwarded if the connection is lost before its end', async () => {
  const { written, client } = openRecordingClient();
  const end = await runAttempt(continuationOf(client, false), (listener) => {
    listener.head(successHead);
    listener.data(Buffer.from('half'));
    listener.lost('reset');
  });
  assert.equal(end.type === 'failed' && end.error, 'link-lost');
  assert.equal(written, []);
});

test('a stream continues from another server under the headers of the first one, with each piece once', async () => {
  const { written, client } = openRecordingClient();
  const continuation = continuationOf(client, true);
  await runAttempt(continuation, (listener) => {
    listener.head(successHead);
    listener.data(event(1));
    listener.data(event(2));
    listener.lost('reset');
  });
  const end = await runAttempt(continuation, (listener) => {
    listener.head({ ...successHead, headers: ['other', 'head'] });
    listener.data(event(3));
    listener.end();
  });
  assert.is(end.type, 'done');
  assert.equal(written, ['begin 200', eventText(1), eventText(2), eventText(3), 'end']);
});

test('a piece with a number that was already forwarded fails the attempt and is not forwarded again', async () => {
  const { written, client } = openRecordingClient();
  const continuation = continuationOf(client, true);
  const end = await runAttempt(continuation, (listener) => {
    listener.head(successHead);
    listener.data(event(2));
    listener.data(event(2));
    listener.end();
  });
  assert.equal(end.type === 'failed' && end.error, 'bad-stream');
  assert.equal(written, ['begin 200', eventText(2)]);
});

test('a stream that ends within an event fails the attempt, and nothing of that event is forwarded', async () => {
  const { written, client } = openRecordingClient();
  const end = await runAttempt(continuationOf(client, true), (listener) => {
    listener.head(successHead);
    listener.data(Buffer.from(`${eventText(1)}id: 2\n`));
    listener.end();
  });
  assert.equal(end.type === 'failed' && end.error, 'link-lost');
  assert.equal(written, ['begin 200', eventText(1)]);
});

test('a success response without the seal of its server is never forwarded', async () => {
  const { written, client } = openRecordingClient();
  const end = await runAttempt(continuationOf(client, true), (listener) => {
    listener.head({ ...successHead, sealed: false });
    listener.data(event(1));
    listener.end();
  });
  assert.equal(end.type === 'failed' && end.error, 'bad-stream');
  assert.equal(written, []);
});

test('an error response that confirms it did not run sets notRun; one that ran is buffered whole for the client', async () => {
  const { written, client } = openRecordingClient();
  const continuation = continuationOf(client, true);
  const turnedAway = await runAttempt(continuation, (listener) => {
    listener.head({ ...successHead, status: 503, ran: false });
    listener.end();
  });
  assert.equal(turnedAway, { type: 'failed', error: 'turned-away', message: 'status 503', notRun: true });
  const ran = await runAttempt(continuation, (listener) => {
    listener.head({ ...successHead, status: 500 });
    listener.data(Buffer.from('why'));
    listener.end();
  });
  assert.equal(ran.type === 'failed' && ran.error, 'server-error');
  assert.is(Buffer.from(continuation.stream.errorResponse?.body ?? []).toString(), 'why');
  assert.equal(written, []);
});

test('data that arrives after the client disconnected or the attempt ended is not forwarded', async () => {
  const sendLate = (listener: OpaqueResponseListener): void => {
    listener.head(successHead);
    listener.data(event(2));
    listener.end();
  };
  for (const streams of [true, false]) {
    const { written, client } = openRecordingClient();
    const abortController = new AbortController();
    let lateListener: OpaqueResponseListener | undefined;
    const startCarriage: NonNullable<ServerLink['forward']> = (_order, listener) => {
      lateListener = listener;
      return { pause: () => undefined, resume: () => undefined, cancel: () => undefined };
    };
    let isClosed = false;
    const link: ServerLink = {
      key: 'k',
      isOpen: () => !isClosed,
      close: () => {
        isClosed = true;
      },
      probe: () => Promise.resolve(true),
      deliver: () => Promise.reject(new Error('not here')),
      forward: startCarriage,
    };
    const order = { exchange, budgetUs: 1, resumeAfter: undefined, urgency: undefined };
    const events = { piece: () => undefined, load: () => undefined };
    const outcome = forwardOpaque(
      continuationOf(client, streams),
      link,
      startCarriage,
      order,
      abortController.signal,
      openResponseMemory(1 << 24, openCounters()),
      events,
    );
    abortController.abort();
    assert.is((await outcome).type, 'gone');
    assert.ok(isClosed, 'the link is closed, so no other request can use it');
    if (lateListener !== undefined) sendLate(lateListener);
    assert.equal(written, []);
  }
});

test.run();
