import { createServer, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { dialServer } from '../../platform/server/dial.js';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { raceTimeout } from '../../src/common/clock/race-timeout.js';
import type { ServerLink } from '../../src/servers/link/server-link.js';
import { listedAt } from '../router/loopback.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import { carried, exchangeOf, orderOf, type Carried } from './raw/carried.js';
import { openRawServer, type RawServer } from './raw/raw-server.js';

type Serve = (socket: Socket, request: string, place: number) => void;

const headOf = (name: string, more: readonly string[] = [], status = '200 OK'): string =>
  [`HTTP/1.1 ${status}`, `Ledgehill-Attempt-Id: ${name}`, 'Ledgehill-Server-Seal: s.1', ...more, '', ''].join('\r\n');

const whole = (name: string, text: string, more: readonly string[] = []): string =>
  `${headOf(name, [`Content-Length: ${text.length}`, ...more])}${text}`;

const dial = async (address: string): Promise<ServerLink> =>
  (await dialServer({ ...listedAt('i-1', 'readers', 1), address })).unsafeCoerce();

const withLink = async (serve: Serve, use: (link: ServerLink, server: RawServer) => Promise<void>): Promise<void> => {
  const server = await openRawServer(serve);
  const link = await dial(server.address);
  try {
    await use(link, server);
  } finally {
    link.close();
    server.close();
  }
};

const bounded = async (work: Promise<Carried>): Promise<Carried> => {
  const done = await raceTimeout(monotonicClock, work, 3_000_000);
  if (done === undefined) throw new Error('no last word within three seconds');
  return done;
};

const closed = async (link: ServerLink): Promise<boolean> => {
  for (let look = 0; look < 100 && link.isOpen(); look += 1) await delay(monotonicClock, 10_000);
  return !link.isOpen();
};

test('an exchange goes out byte for byte, with what the platform adds', () =>
  withLink(
    (socket) => socket.write(whole('a', 'ok')),
    async (link, server) => {
      const made = await bounded(carried(link, orderOf('a', { resumeAfter: '12', urgency: 3 })));
      assert.equal(
        [made.ending, made.text, made.head?.status, made.head?.ran, made.head?.sealed],
        ['end', 'ok', 200, true, true],
      );
      const [head = '', body] = server.received().split('\r\n\r\n');
      const lines = head.split('\r\n');
      assert.is(lines[0], 'POST /p/x?a=%20b&&c=// HTTP/1.1');
      for (const line of [
        'Host: a.example',
        'Ledgehill-Attempt-Id: a',
        'X-Own: One',
        'x-own: two',
        'Ledgehill-Budget-Ms: 1234',
        'Ledgehill-Want-Server: i-1',
        'Last-Event-Id: 12',
        'Ledgehill-Urgency: 3',
      ])
        assert.is(lines.filter((given) => given.toLowerCase() === line.toLowerCase()).length, 1, line);
      assert.is(lines.filter((given) => /^(host|content-length):/i.test(given)).length, 2);
      assert.is(body, '\x00\xff\r\n');
    },
  ));

test('a link carries one exchange after the other', () =>
  withLink(
    (socket, _request, place) => socket.write(whole(`n${place}`, `text ${place}`)),
    async (link, server) => {
      for (const place of [0, 1, 2])
        assert.is((await bounded(carried(link, orderOf(`n${place}`)))).text, `text ${place}`);
      assert.is(server.sockets.length, 1);
    },
  ));

test('a head and a chunked body cut at every byte are one receipt', () => {
  const bytes = `${headOf('a', ['Transfer-Encoding: chunked', 'X-Two: 1', 'X-Two: 2'])}5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n`;
  return withLink(
    (socket) => {
      void (async () => {
        socket.setNoDelay(true);
        for (const byte of bytes) {
          socket.write(byte);
          await new Promise(setImmediate);
        }
      })();
    },
    async (link) => {
      const made = await bounded(carried(link, orderOf('a')));
      assert.equal([made.ending, made.text, link.isOpen()], ['end', 'helloyou', true]);
      assert.equal(made.head?.headers, [
        'Ledgehill-Attempt-Id',
        'a',
        'Ledgehill-Server-Seal',
        's.1',
        'X-Two',
        '1',
        'X-Two',
        '2',
      ]);
    },
  );
});

const lostCases: readonly (readonly [string, Serve, string])[] = [
  [
    'a reset within the body',
    (socket) =>
      socket.write(`${headOf('a', ['Content-Length: 10'])}hello`, () => setTimeout(() => socket.resetAndDestroy(), 20)),
    'hello',
  ],
  ['a close within the body', (socket) => void socket.end(`${headOf('a', ['Content-Length: 10'])}hello`), 'hello'],
  [
    'a close within a chunked body',
    (socket) => void socket.end(`${headOf('a', ['Transfer-Encoding: chunked'])}5\r\nhello\r\n`),
    'hello',
  ],
  ['a close before the receipt', (socket) => void socket.end(), ''],
  ['a receipt to something else', (socket) => socket.write(whole('b', 'other')), ''],
  [
    'a receipt without an id',
    (socket) => socket.write('HTTP/1.1 200 OK\r\nLedgehill-Server-Seal: s\r\nContent-Length: 5\r\n\r\nother'),
    '',
  ],
  ['a 503 that does not vouch', (socket) => socket.write(headOf('a', ['Content-Length: 0'], '503 Broken')), ''],
  ['a 429 that does not vouch', (socket) => socket.write(headOf('a', ['Content-Length: 0'], '429 Broken')), ''],
  ['a 408 that does not vouch', (socket) => socket.write(headOf('a', ['Content-Length: 0'], '408 Broken')), ''],
  ['bytes that are no receipt', (socket) => socket.write('\x00\x01garbled\r\n\r\n'), ''],
  [
    'a close within a stream of events',
    (socket) =>
      void socket.end(
        `${headOf('a', ['Content-Type: text/event-stream', 'Content-Length: 23'])}id: 1\ndata: x\n\nid: 2\n`,
      ),
    'id: 1\ndata: x\n\nid: 2\n',
  ],
];

for (const [name, serve, text] of lostCases)
  test(`${name} loses the exchange, once, and the link`, () =>
    withLink(serve, async (link) => {
      const made = await bounded(carried(link, orderOf('a')));
      assert.equal([made.ending, made.text], ['lost', text]);
      assert.ok(await closed(link));
      assert.is((await bounded(carried(link, orderOf('c')))).ending, 'lost');
    }));

test("a surplus receipt closes the link, or is told by its id where it comes in the next one's place", () =>
  withLink(
    (socket, _request, place) =>
      socket.write(place === 0 ? `${whole('n0', 'own')}${whole('n0', 'surplus')}` : whole('n1', 'second')),
    async (link) => {
      assert.equal((await bounded(carried(link, orderOf('n0')))).text, 'own');
      const next = await bounded(carried(link, orderOf('n1')));
      assert.ok(next.ending === 'lost' && next.text === '', next.text);
      assert.ok(await closed(link));
    },
  ));

test("a late surplus receipt is nobody's", () =>
  withLink(
    (socket, _request, place) => {
      if (place === 0) socket.write(whole('n0', 'own'));
      else socket.write(`${whole('n0', 'late')}${whole('n1', 'second')}`);
    },
    async (link) => {
      assert.is((await bounded(carried(link, orderOf('n0')))).text, 'own');
      const next = await bounded(carried(link, orderOf('n1')));
      assert.ok(next.ending === 'lost' && next.text === '');
    },
  ));

test('a success without its seal, or encoded, is not sealed', async () => {
  for (const head of [
    'HTTP/1.1 200 OK\r\nLedgehill-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nok',
    whole('a', 'ok', ['Content-Encoding: gzip']),
  ])
    await withLink(
      (socket) => socket.write(head),
      async (link) => assert.is((await bounded(carried(link, orderOf('a')))).head?.sealed, false),
    );
});

test('what did not run is said so, and only then', async () => {
  const cases: readonly (readonly [string, readonly string[], boolean])[] = [
    ['503 Busy', ['Ledgehill-Not-Run: 1'], false],
    ['429 Busy', ['Ledgehill-Not-Run: 1'], false],
    ['421 Other', [], false],
    ['500 Broken', [], true],
    ['504 Late', [], true],
  ];
  for (const [status, more, ran] of cases)
    await withLink(
      (socket) => socket.write(headOf('a', [...more, 'Content-Length: 0'], status)),
      async (link) => {
        const made = await bounded(carried(link, orderOf('a')));
        assert.equal([made.ending, made.head?.ran, link.isOpen()], ['end', ran, true], status);
      },
    );
});

test('a receipt that says close is the last of its link', () =>
  withLink(
    (socket) => socket.write(whole('a', 'ok', ['Connection: close'])),
    async (link) => {
      assert.is((await bounded(carried(link, orderOf('a')))).ending, 'end');
      assert.ok(await closed(link));
    },
  ));

test('a link that the server closes while it is idle is closed', () =>
  withLink(
    (socket) => socket.write(whole('a', 'ok'), () => setTimeout(() => socket.end(), 10)),
    async (link) => {
      await bounded(carried(link, orderOf('a')));
      assert.ok(await closed(link));
    },
  ));

test('silence is broken by cancelling, which ends the link and tells nothing more', () =>
  withLink(
    () => undefined,
    async (link, server) => {
      let words = 0;
      const carriage = link.forward?.(orderOf('a'), {
        head: () => (words += 1),
        data: () => (words += 1),
        end: () => (words += 1),
        lost: () => (words += 1),
      });
      for (let look = 0; look < 100 && !server.received().endsWith('\x00\xff\r\n'); look += 1)
        await delay(monotonicClock, 10_000);
      carriage?.cancel();
      assert.not.ok(link.isOpen());
      await new Promise<void>((resolve) => {
        const [socket] = server.sockets;
        if (socket === undefined || socket.destroyed) resolve();
        else socket.once('close', () => resolve());
      });
      assert.is(words, 0);
    },
  ));

test('a stream of events is told as such, and comes as it is wherever it is cut', () => {
  const events = ['id: 1\ndata: a\n\n', 'ledgehill-weight-versions: 2\nid: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];
  return withLink(
    (socket) => {
      const text = events.join('');
      socket.write(
        `${headOf('a', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'])}7\r\n${text.slice(0, 7)}\r\n`,
      );
      setTimeout(() => socket.write(`${(text.length - 7).toString(16)}\r\n${text.slice(7)}\r\n0\r\n\r\n`), 20);
    },
    async (link) => {
      const made = await bounded(carried(link, orderOf('a')));
      assert.equal([made.ending, made.head?.isEventStream, made.text], ['end', true, events.join('')]);
    },
  );
});

test('a paused receipt waits, and a resumed one comes whole', () => {
  const text = 'x'.repeat(4 << 20);
  return withLink(
    (socket) => socket.write(whole('a', text)),
    async (link) => {
      const made = await bounded(
        carried(link, orderOf('a'), (carriage) => {
          setTimeout(carriage.pause, 1);
          setTimeout(carriage.resume, 60);
        }),
      );
      assert.ok(made.ending === 'end' && made.text === text);
    },
  );
});

test('a GET without a body has none', () =>
  withLink(
    (socket) => socket.write(whole('a', 'ok')),
    async (link, server) => {
      const exchange = exchangeOf('a', {
        method: 'GET',
        body: new Uint8Array(0),
        headers: ['Host', 'a.example', 'Ledgehill-Attempt-Id', 'a'],
      });
      assert.is((await bounded(carried(link, orderOf('a', { exchange })))).text, 'ok');
      assert.ok(!/content-length|transfer-encoding/i.test(server.received()));
    },
  ));

test('a reset before the bytes of a request have all left loses it, and it is not sent again', async () => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.once('data', () => socket.resetAndDestroy());
  });
  const [port = 0] = await freePorts(1);
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  const link = await dial(`127.0.0.1:${port}`);
  try {
    const exchange = exchangeOf('a', { headers: ['Host', 'a.example'], body: Buffer.alloc(32 << 20) });
    assert.is((await bounded(carried(link, orderOf('a', { exchange })))).ending, 'lost');
    assert.ok(await closed(link));
    assert.is((await bounded(carried(link, orderOf('c')))).ending, 'lost');
    assert.is(connections, 1);
  } finally {
    link.close();
    server.close();
  }
});

test('a dial that nobody takes is refused', async () => {
  const [port] = await freePorts(1);
  const refused = await dialServer(listedAt('i-1', 'readers', port ?? 0));
  assert.is(refused.swap().unsafeCoerce().type, 'link-refused');
});

test.run();
