import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Edge } from './raw/open-edge.js';
import { answerTo, chunk, idIn, post, streamHead, withEdge, type Serve } from './raw/with-edge.js';

const pieces = 8;
const brokenAfter = 3;
/** Requests that allow for further attempts of others. */
const earlierRequests = 12;
const cutMs = 20;

/** How the servers of a stream write the ID of its nth event, and read it again. */
type IdForm = {
  readonly name: string;
  readonly write: (place: number) => string;
  readonly read: (text: string) => number;
};

const numberForm = (name: string, first: bigint, width = 0): IdForm => ({
  name,
  write: (place) => String(first + BigInt(place)).padStart(width, '0'),
  read: (text) => Number(BigInt(text) - first),
});

const idForms: readonly IdForm[] = [
  numberForm('one digit', 0n),
  numberForm('fifteen digits', 100_000_000_000_000n),
  numberForm('sixteen digits', 1_765_000_000_000_000n),
  numberForm('nineteen digits, above 2^53', 1_765_000_000_000_000_000n),
  numberForm('sixty digits', 10n ** 59n),
  numberForm('padded with zeros', 0n, 20),
  { name: 'no number', write: (place) => `piece/${place}~é`, read: (text) => Number(/^piece\/(\d+)/.exec(text)?.[1]) },
];
const lineEnds = ['\n', '\r\n', '\r'] as const;

const eventOf = (id: string | undefined, place: number, lineEnd: string): string =>
  `${id === undefined ? '' : `id: ${id}${lineEnd}`}data: <${place}>${lineEnd}${lineEnd}`;

const lastEventIdIn = (request: string): string | undefined => /^last-event-id: (.*)\r$/im.exec(request)?.[1];

const piecesIn = (received: string): readonly number[] =>
  [...received.matchAll(/data: <(\d+)>/g)].map(([, place]) => Number(place));

const all = Array.from({ length: pieces }, (_, place) => place + 1);
const isComplete = (received: string): boolean => received.endsWith('\r\n0\r\n\r\n');

const serveOthers = (socket: Socket, request: string): boolean => {
  const isOther = request.startsWith('POST /idem/');
  if (isOther) socket.write(answerTo(request, `[${idIn(request)}]`));
  return isOther;
};

const breakOff = (socket: Socket): void => void setTimeout(() => socket.resetAndDestroy(), cutMs);

/** What a server does with the nth attempt of a stream. */
type ServeAttempt = (socket: Socket, request: string, attempt: number) => void;

type Played = { readonly received: string; readonly asked: readonly (string | undefined)[] };

/** Plays one stream that may be resumed; answers with what its client received and where its servers were asked to begin. */
const play = async (serveAttempt: ServeAttempt, headers: readonly string[] = []): Promise<Played> => {
  const asked: (string | undefined)[] = [];
  const serve: Serve = (socket, request) => {
    socket.setNoDelay(true);
    if (serveOthers(socket, request)) return;
    asked.push(lastEventIdIn(request));
    serveAttempt(socket, request, asked.length);
  };
  let received = '';
  const use = async (edge: Edge): Promise<void> => {
    const client = await edge.connect();
    for (let place = 0; place < earlierRequests; place += 1) {
      client.socket.write(post('/idem/x', '', [], `e${place}`));
      await client.until(`[e${place}]`);
    }
    const reader = await edge.connect();
    reader.socket.write(post('/resumed/x', '', ['Connection: close', ...headers], 'a1'));
    received = await reader.ended();
  };
  await withEdge(serve, use, 2);
  return { received, asked };
};

/** Sends the events after `from`, up to `to`, in the form of an ID. */
const sendEvents = (socket: Socket, form: IdForm, lineEnd: string, from: number, to: number): void => {
  for (let place = from + 1; place <= to; place += 1)
    socket.write(chunk(eventOf(form.write(place), place, lineEnd)), 'latin1');
};

/** A sound server, whose first attempt breaks off. */
const soundServer =
  (form: IdForm, lineEnd: string): ServeAttempt =>
  (socket, request, attempt) => {
    const last = lastEventIdIn(request);
    const from = last === undefined ? 0 : form.read(last);
    socket.write(streamHead(request));
    if (attempt === 1) {
      sendEvents(socket, form, lineEnd, from, from + brokenAfter);
      breakOff(socket);
      return;
    }
    sendEvents(socket, form, lineEnd, from, pieces);
    socket.write('0\r\n\r\n');
  };

// Guards against: a stream whose IDs the router does not understand is sent again from its beginning.
for (const form of idForms)
  for (const lineEnd of lineEnds)
    test(`IDs of ${form.name}, lines ended by ${JSON.stringify(lineEnd)}: a stream that breaks off goes on after its last event`, async () => {
      const { received, asked } = await play(soundServer(form, lineEnd));
      assert.equal(piecesIn(received), all);
      assert.ok(isComplete(received));
      assert.equal(asked, [undefined, form.write(brokenAfter)]);
    });

// Guards against: the position that a client asks for does not reach the server.
for (const form of idForms)
  test(`IDs of ${form.name}: the position that a client asks for reaches each server as it came`, async () => {
    const { received, asked } = await play(soundServer(form, '\n'), [`Last-Event-Id: ${form.write(2)}`]);
    assert.equal(piecesIn(received), all.slice(2));
    assert.ok(isComplete(received));
    assert.equal(asked, [form.write(2), form.write(2 + brokenAfter)]);
  });

test('a stream that breaks off before its first event is sent again with what the client asked for, byte for byte', async () => {
  for (const own of ['5', '0005', 'a b\xff', '9'.repeat(400), '-3', '"x", 5']) {
    const { received, asked } = await play(
      (socket, request, attempt) => {
        socket.write(streamHead(request));
        if (attempt === 1) breakOff(socket);
        else socket.write(`${chunk(eventOf(undefined, 1, '\n'))}0\r\n\r\n`);
      },
      [`Last-Event-Id: ${own}`],
    );
    assert.equal([piecesIn(received), isComplete(received), asked], [[1], true, [own, own]], own);
  }
});

/** Events of one attempt that is then broken off, after which the position is not known. */
const unknownPositions: readonly (readonly [string, readonly string[]])[] = [
  ['no event has an ID', [eventOf(undefined, 1, '\n'), eventOf(undefined, 2, '\n')]],
  ['an event without an ID follows the last ID', [eventOf('1', 1, '\n'), eventOf(undefined, 2, '\n')]],
  ['the last ID is empty', [eventOf('1', 1, '\n'), eventOf('', 2, '\n')]],
  ['the last ID fits into no header', [eventOf('1', 1, '\n'), eventOf('2\x07', 2, '\n')]],
];

for (const [name, events] of unknownPositions)
  test(`${name}: the stream looks cut, and is not sent again`, async () => {
    const { received, asked } = await play((socket, request) => {
      socket.write(streamHead(request));
      for (const event of events) socket.write(chunk(event));
      breakOff(socket);
    });
    assert.equal(piecesIn(received), [1, 2]);
    assert.not.ok(isComplete(received));
    assert.is(asked.length, 1);
  });

test('a body that is no event stream, on the route of one, looks cut and is not sent again', async () => {
  const { received, asked } = await play((socket, request) => {
    socket.write(streamHead(request).replace('text/event-stream', 'text/plain'));
    socket.write(chunk('half of it'));
    breakOff(socket);
  });
  assert.match(received, 'half of it');
  assert.not.ok(isComplete(received));
  assert.is(asked.length, 1);
});

/** Events with which a second server goes wrong after IDs 1 to 3, or a to c. */
const wrongContinuations: readonly (readonly [string, readonly string[], string])[] = [
  ['from the beginning', ['1', '2', '3'], '1'],
  ['with the last event again', ['1', '2', '3'], '3'],
  ['one event too late', ['1', '2', '3'], '5'],
  ['from the beginning, above 2^53', ['9007199254740993', '9007199254740994', '9007199254740995'], '9007199254740993'],
  ['from the beginning, with IDs that are no numbers', ['a', 'b', 'c'], 'a'],
];

for (const [name, ids, wrongId] of wrongContinuations)
  test(`a server that goes on ${name} is caught before a byte of it is passed on`, async () => {
    const { received, asked } = await play((socket, request, attempt) => {
      socket.write(streamHead(request));
      if (attempt === 1) {
        ids.forEach((id, place) => socket.write(chunk(eventOf(id, place + 1, '\n'))));
        breakOff(socket);
        return;
      }
      socket.write(chunk(`: a comment\n\n`));
      socket.write(`${chunk(eventOf(wrongId, 99, '\n'))}0\r\n\r\n`);
    });
    assert.equal(piecesIn(received), [1, 2, 3]);
    assert.not.match(received, 'comment');
    assert.not.ok(isComplete(received));
    assert.is(asked.length, 2);
  });

test('of two IDs in one event the last counts', async () => {
  const eventWith = (place: number): string => `id: 900\nid: ${place}\ndata: <${place}>\n\n`;
  const { received, asked } = await play((socket, request, attempt) => {
    socket.write(streamHead(request));
    const from = Number(lastEventIdIn(request) ?? 0);
    for (let place = from + 1; place <= (attempt === 1 ? brokenAfter : pieces); place += 1)
      socket.write(chunk(eventWith(place)));
    if (attempt === 1) breakOff(socket);
    else socket.write('0\r\n\r\n');
  });
  assert.equal(piecesIn(received), all);
  assert.equal(asked, [undefined, String(brokenAfter)]);
});

test('a byte order mark comes once, and comments are no events', async () => {
  const mark = '\xef\xbb\xbf';
  const { received, asked } = await play((socket, request, attempt) => {
    socket.write(streamHead(request));
    const from = Number(lastEventIdIn(request) ?? 0);
    socket.write(chunk(`${mark}: first\n\n`), 'latin1');
    for (let place = from + 1; place <= (attempt === 1 ? brokenAfter : pieces); place += 1)
      socket.write(chunk(`${eventOf(String(place), place, '\n')}: again\n\n`));
    if (attempt === 1) breakOff(socket);
    else socket.write('0\r\n\r\n');
  });
  assert.equal(piecesIn(received), all);
  assert.is(received.split(mark).length, 2);
  assert.equal(asked, [undefined, String(brokenAfter)]);
});

test.run();
