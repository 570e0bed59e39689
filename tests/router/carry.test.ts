import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { carry } from '../../src/router/delivery/carry.js';
import { watchCaller } from '../../src/router/promises/watched-caller.js';
import type { CallerLink } from '../../src/router/delivery/caller-link.js';
import type { DeliveryEnd } from '../../src/router/delivery/delivery-end.js';
import type { Continuation } from '../../src/router/exchange/continuation.js';
import type { OpaqueExchange } from '../../src/router/opaque/opaque-exchange.js';
import type { OpaqueResponseHead } from '../../src/servers/link/opaque-response-head.js';
import type { OpaqueResponseListener } from '../../src/servers/link/opaque-response-listener.js';
import type { ServerLink } from '../../src/servers/link/server-link.js';
import { freeHold } from '../../src/router/exchange/quota-hold.js';
import { openSlab } from '../../src/router/slab/slab.js';

const exchange: OpaqueExchange = {
  name: 'n1',
  host: 'h',
  path: '/p/',
  method: 'POST',
  target: '/p/',
  headers: [],
  body: Buffer.from('body'),
  afterPiece: undefined,
  opening: [],
  readTokens: 0,
  writeTokens: 0,
  budgetUs: 1_000_000,
};

const good: OpaqueResponseHead = { status: 200, headers: ['A', 'b'], ran: true, sealed: true };

/** A caller that writes down what it is given. */
const openHeard = () => {
  const heard: string[] = [];
  const caller: CallerLink = {
    opaque: {
      begin: ({ status }) => void heard.push(`begin ${status}`),
      write: (bytes) => {
        heard.push(Buffer.from(bytes).toString());
        return true;
      },
      onRoom: () => undefined,
      end: () => void heard.push('end'),
      whole: ({ status }, body) => void heard.push(`whole ${status} ${Buffer.from(body).toString()}`),
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
  return { heard, caller };
};

const continuationOf = (caller: CallerLink, streams: boolean): Continuation =>
  openSlab<Continuation>().put((ticket) => ({
    ticket,
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
    quota: freeHold,
    isModel: true,
    body: { kind: 'k', budgetUs: 1_000_000 },
    opaque: exchange,
    dueUs: 1,
    caller,
    watch: watchCaller(caller, { exchange: 'e1', repeatable: true }, { broken: () => undefined }),
    claimedKey: undefined,
    stream: { pieces: 0, running: undefined, dueUs: 0, lastPiece: undefined, refusal: undefined },
  }));

type Server = (listener: OpaqueResponseListener) => void;

const tried = (continuation: Continuation, server: Server): Promise<DeliveryEnd> => {
  const carryOver: NonNullable<ServerLink['forward']> = (_order, listener) => {
    queueMicrotask(() => server(listener));
    return { pause: () => undefined, resume: () => undefined, cancel: () => undefined };
  };
  const link: ServerLink = {
    key: 'k',
    isOpen: () => true,
    close: () => undefined,
    probe: () => Promise.resolve(true),
    deliver: () => Promise.reject(new Error('not here')),
    forward: carryOver,
  };
  const order = { exchange, budgetUs: 1, afterPiece: undefined, urgency: undefined };
  return carry(continuation, link, carryOver, order, new AbortController().signal, {
    piece: () => undefined,
    load: () => undefined,
  });
};

const bytes = (text: string): Uint8Array => Buffer.from(text);

test('a whole receipt that is no stream is given on at once, with its head', async () => {
  const { heard, caller } = openHeard();
  const end = await tried(continuationOf(caller, false), (listener) => {
    listener.head(good);
    listener.piece(bytes('one'), undefined);
    listener.piece(bytes(' two'), undefined);
    listener.end();
  });
  assert.is(end.type, 'done');
  assert.equal(heard, ['whole 200 one two']);
});

test('one that breaks off before its end gives its caller nothing', async () => {
  const { heard, caller } = openHeard();
  const end = await tried(continuationOf(caller, false), (listener) => {
    listener.head(good);
    listener.piece(bytes('half'), undefined);
    listener.lost('reset');
  });
  assert.equal(end.type === 'failed' && end.error, 'link-lost');
  assert.equal(heard, []);
});

test('a stream goes on at another server under the head of its first one, each piece once', async () => {
  const { heard, caller } = openHeard();
  const continuation = continuationOf(caller, true);
  await tried(continuation, (listener) => {
    listener.head(good);
    listener.piece(bytes('1'), 1);
    listener.piece(bytes('2'), 2);
    listener.lost('reset');
  });
  const end = await tried(continuation, (listener) => {
    listener.head({ ...good, headers: ['other', 'head'] });
    listener.piece(bytes('3'), 3);
    listener.end();
  });
  assert.is(end.type, 'done');
  assert.equal(heard, ['begin 200', '1', '2', '3', 'end']);
});

test('a piece that was given on already ends the try, and is not given on again', async () => {
  const { heard, caller } = openHeard();
  const continuation = continuationOf(caller, true);
  const end = await tried(continuation, (listener) => {
    listener.head(good);
    listener.piece(bytes('2'), 2);
    listener.piece(bytes('2'), 2);
    listener.end();
  });
  assert.equal(end.type === 'failed' && end.error, 'bad-stream');
  assert.equal(heard, ['begin 200', '2']);
});

test('a success without the mark of its server is never given on', async () => {
  const { heard, caller } = openHeard();
  const end = await tried(continuationOf(caller, true), (listener) => {
    listener.head({ ...good, sealed: false });
    listener.piece(bytes('1'), 1);
    listener.end();
  });
  assert.equal(end.type === 'failed' && end.error, 'bad-stream');
  assert.equal(heard, []);
});

test('a refusal that vouches not to have run says so; one that ran is kept whole for the caller', async () => {
  const { heard, caller } = openHeard();
  const continuation = continuationOf(caller, true);
  const away = await tried(continuation, (listener) => {
    listener.head({ ...good, status: 503, ran: false });
    listener.end();
  });
  assert.equal(away, { type: 'failed', error: 'turned-away', message: 'status 503', notRun: true });
  const ran = await tried(continuation, (listener) => {
    listener.head({ ...good, status: 500 });
    listener.piece(bytes('why'), undefined);
    listener.end();
  });
  assert.equal(ran.type === 'failed' && ran.error, 'server-error');
  assert.is(Buffer.from(continuation.stream.refusal?.body ?? []).toString(), 'why');
  assert.equal(heard, []);
});

test('what comes after a caller is gone, or after the end of a try, is given to nobody', async () => {
  const late = (listener: OpaqueResponseListener): void => {
    listener.head(good);
    listener.piece(bytes('2'), 2);
    listener.end();
  };
  for (const streams of [true, false]) {
    const { heard, caller } = openHeard();
    const leaving = new AbortController();
    let listened: OpaqueResponseListener | undefined;
    const carryOver: NonNullable<ServerLink['forward']> = (_order, listener) => {
      listened = listener;
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
      forward: carryOver,
    };
    const order = { exchange, budgetUs: 1, afterPiece: undefined, urgency: undefined };
    const events = { piece: () => undefined, load: () => undefined };
    const ended = carry(continuationOf(caller, streams), link, carryOver, order, leaving.signal, events);
    leaving.abort();
    assert.is((await ended).type, 'gone');
    assert.ok(isClosed, 'its link serves no other request');
    if (listened !== undefined) late(listened);
    assert.equal(heard, []);
  }
});

test.run();
