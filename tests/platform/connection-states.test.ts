import type { Socket } from 'node:net';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { dialServer } from '../../platform/server/dial.js';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { raceTimeout } from '../../src/common/clock/race-timeout.js';
import type { Micros } from '../../src/common/micros.js';
import type { ForwardHandle } from '../../src/servers/link/forward-handle.js';
import type { ServerLink } from '../../src/servers/link/server-link.js';
import { listedAt } from '../router/loopback.js';
import { carried, orderOf, type Carried } from './raw/carried.js';
import { openRawServer } from './raw/raw-server.js';

type Framing = 'length' | 'length, closing' | 'chunks' | 'none';
/** How far an answer has come when its connection meets an event. */
type Progress = 'nothing' | 'early hints' | 'head' | 'part' | 'whole';
/** What happens to the connection: at the server's side, or by a close of our own. */
type Event = 'reset' | 'end' | 'own close';
/** Whether the reader of the answer stops reading with its first bytes, until the event is past. */
type Reader = 'ready' | 'paused';
type Row = {
  readonly framing: Framing;
  readonly progress: Progress;
  readonly event: Event;
  readonly reader: Reader;
  /** Whether the event comes together with the bytes before it, or is read by itself. */
  readonly isTogether: boolean;
  /** Whether another answer came on the link before. */
  readonly isSecond: boolean;
};

const bodyBytes = 200_000;
const body = 'x'.repeat(bodyBytes);
const apartMs = 10;
const pausedUs: Micros = 40_000;
const wordUs: Micros = 3_000_000;
const rowsAtOnce = 16;

const headersOf = (framing: Framing): readonly string[] => {
  switch (framing) {
    case 'length':
      return [`Content-Length: ${bodyBytes}`];
    case 'length, closing':
      return [`Content-Length: ${bodyBytes}`, 'Connection: close'];
    case 'chunks':
      return ['Transfer-Encoding: chunked'];
    case 'none':
      return [];
  }
};

const headOf = (framing: Framing): string =>
  ['HTTP/1.1 200 OK', 'Ledgehill-Attempt-Id: a', 'Ledgehill-Server-Seal: s.1', ...headersOf(framing), '', ''].join(
    '\r\n',
  );

const framed = (framing: Framing, isWhole: boolean): string => {
  const text = isWhole ? body : body.slice(0, bodyBytes / 2);
  if (framing !== 'chunks') return text;
  return `${text.length.toString(16)}\r\n${text}\r\n${isWhole ? '0\r\n\r\n' : ''}`;
};

/** The bytes that the server sends before the event. */
const bytesOf = ({ framing, progress }: Pick<Row, 'framing' | 'progress'>): string => {
  switch (progress) {
    case 'nothing':
      return '';
    case 'early hints':
      return 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
    case 'head':
      return headOf(framing);
    case 'part':
      return headOf(framing) + framed(framing, false);
    case 'whole':
      return headOf(framing) + framed(framing, true);
  }
};

/**
 * The last words that are right. Where an answer ends with its connection, its end in order makes it whole. A reset may take back
 * bytes that were sent before it, so that an answer with a length may be whole or not.
 */
const rightWords = ({ framing, progress, event }: Row): readonly string[] => {
  if (progress === 'nothing' || progress === 'early hints') return ['lost'];
  if (framing === 'none') return event === 'end' ? ['end'] : ['lost'];
  if (progress !== 'whole') return ['lost'];
  return event === 'end' ? ['end'] : ['end', 'lost'];
};

/** Stops reading, and goes on after a while. */
const readLate = (carriage: ForwardHandle): void => {
  carriage.pause();
  void delay(monotonicClock, pausedUs).then(carriage.resume);
};

const warmUp = async (link: ServerLink): Promise<void> => {
  const { ending } = await carried(link, orderOf('first'));
  assert.is(ending, 'end');
};

const firstAnswer = 'HTTP/1.1 200 OK\r\nLedgehill-Attempt-Id: first\r\nContent-Length: 2\r\n\r\nok';

const play = async (row: Row): Promise<{ readonly made: Carried; readonly isOpen: boolean }> => {
  let closeLink = (): void => undefined;
  const meet = (socket: Socket): void => {
    if (row.event === 'reset') socket.resetAndDestroy();
    else if (row.event === 'end') socket.end();
    else closeLink();
  };
  const server = await openRawServer((socket, request) => {
    if (request.includes('Ledgehill-Attempt-Id: first')) {
      socket.write(firstAnswer);
      return;
    }
    const next = (): void => {
      if (row.isTogether) meet(socket);
      else setTimeout(() => meet(socket), apartMs);
    };
    const bytes = bytesOf(row);
    if (bytes === '') next();
    else if (row.event === 'end') {
      socket.write(bytes);
      next();
    } else socket.write(bytes, next);
  });
  const link = (await dialServer({ ...listedAt('i-1', 'readers', 1), address: server.address })).unsafeCoerce();
  closeLink = link.close;
  try {
    if (row.isSecond) await warmUp(link);
    const made = await raceTimeout(
      monotonicClock,
      carried(link, orderOf('a'), undefined, row.reader === 'paused' ? readLate : undefined),
      wordUs,
    );
    if (made === undefined) throw new Error('no last word in time');
    await delay(monotonicClock, pausedUs);
    return { made, isOpen: link.isOpen() };
  } finally {
    link.close();
    server.close();
  }
};

const check = async (row: Row): Promise<void> => {
  const label = JSON.stringify(row);
  const { made, isOpen } = await play(row).catch((thrown: unknown) => {
    throw new Error(`${label}: ${String(thrown)}`);
  });
  assert.ok(rightWords(row).includes(made.ending), `${label}: the last word was ${made.ending}`);
  if (made.ending === 'end' && row.progress !== 'head')
    assert.is(made.text.length, row.progress === 'whole' ? bodyBytes : bodyBytes / 2, label);
  assert.not.ok(isOpen, `${label}: the link is open`);
};

const framings: readonly Framing[] = ['length', 'length, closing', 'chunks', 'none'];
const progresses: readonly Progress[] = ['nothing', 'early hints', 'head', 'part', 'whole'];
const events: readonly Event[] = ['reset', 'end', 'own close'];
const readers: readonly Reader[] = ['ready', 'paused'];
const rows: readonly Row[] = framings.flatMap((framing) =>
  progresses.flatMap((progress) =>
    events.flatMap((event) =>
      readers.flatMap((reader) =>
        [true, false].flatMap((isTogether) =>
          [true, false].map((isSecond): Row => ({ framing, progress, event, reader, isTogether, isSecond })),
        ),
      ),
    ),
  ),
);

// Guards against: an end of a server's connection that is told wrongly, twice or never, or that ends the process, in some state.
test('each state of an answer and each end of its connection come to one last word, right by the framing', async () => {
  for (let from = 0; from < rows.length; from += rowsAtOnce)
    await Promise.all(rows.slice(from, from + rowsAtOnce).map(check));
});

type Send = { readonly bytes: number; readonly waitMs: number };
type Course = { readonly framing: Framing; readonly sends: readonly Send[]; readonly pauses: readonly number[] };

const course: fc.Arbitrary<Course & { readonly isReset: boolean }> = fc.record({
  framing: fc.constantFrom(...framings),
  sends: fc.array(fc.record({ bytes: fc.integer({ min: 1, max: 90_000 }), waitMs: fc.constantFrom(0, 0, 1, 4) }), {
    minLength: 1,
    maxLength: 6,
  }),
  pauses: fc.array(fc.integer({ min: 0, max: 12 }), { maxLength: 4 }),
  isReset: fc.boolean(),
});

/** Sends a whole answer in pieces, and meets its reset or end with the last of them. */
const playCourse = async ({
  framing,
  sends,
  pauses,
  isReset,
}: Course & { readonly isReset: boolean }): Promise<void> => {
  const text = headOf(framing) + framed(framing, true);
  const server = await openRawServer((socket) => {
    void (async () => {
      let from = 0;
      for (const { bytes, waitMs } of sends) {
        socket.write(text.slice(from, from + bytes));
        from += bytes;
        if (waitMs > 0) await delay(monotonicClock, waitMs * 1_000);
      }
      if (isReset) socket.write(text.slice(from), () => socket.resetAndDestroy());
      else socket.end(text.slice(from));
    })();
  });
  const link = (await dialServer({ ...listedAt('i-1', 'readers', 1), address: server.address })).unsafeCoerce();
  const readInTurns = (carriage: ForwardHandle): void => {
    void (async () => {
      for (const pauseMs of pauses) {
        carriage.pause();
        await delay(monotonicClock, pauseMs * 1_000);
        carriage.resume();
        await new Promise(setImmediate);
      }
    })();
  };
  try {
    const made = await raceTimeout(monotonicClock, carried(link, orderOf('a'), undefined, readInTurns), wordUs);
    assert.ok(made !== undefined, 'no last word in time');
    if (!isReset) assert.is(made.ending, 'end');
    else if (framing === 'none') assert.is(made.ending, 'lost');
    else assert.ok(['end', 'lost'].includes(made.ending), made.ending);
    if (made.ending === 'end') assert.is(made.text.length, bodyBytes);
  } finally {
    link.close();
    server.close();
  }
};

test('a reader that pauses at any time, and bytes that come in any pieces, change nothing of the last word', () =>
  fc.assert(fc.asyncProperty(course, playCourse), { seed: 11, numRuns: 200 }));

test.run();
