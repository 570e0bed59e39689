import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import type { Edge } from './raw/open-edge.js';
import type { RawServer } from './raw/raw-server.js';
import { answerTo, chunk, event, idIn, post, seen, streamHead, withEdge, type Serve } from './raw/with-edge.js';

const ok: Serve = (socket, request) => socket.write(answerTo(request, 'ok'));

test('method, target, host, headers and body reach the server as they came, less those of the connection', () =>
  withEdge(ok, async (edge, server) => {
    const client = await edge.connect();
    for (const target of [
      '/idem/',
      '/idem/x?',
      '/idem/x?a=1&a=2#&b=%20+//',
      '/idem/%E0%A4%A',
      '/idem/%2f../a//b/./c',
      '/idem/x;y=1?http://other/',
    ]) {
      const before = server.received().length;
      client.socket.write(
        post(target, '\x00\xff\r\n\r\n', [
          'Connection: X-Drop, keep-alive',
          'Keep-Alive: timeout=9',
          'X-Drop: 1',
          'TE: trailers',
          'Proxy-Connection: x',
          'X-Keep: 1',
          'x-keep: 2',
          'Cookie: a=b',
          'Date: then',
        ]),
      );
      await seen(() => server.received().slice(before).endsWith('\x00\xff\r\n\r\n'));
      const [head = ''] = server.received().slice(before).split('\r\n\r\n');
      const lines = head.split('\r\n');
      assert.is(lines[0], `POST ${target} HTTP/1.1`);
      for (const line of [
        'Host: a.example',
        'X-Keep: 1',
        'x-keep: 2',
        'Cookie: a=b',
        'Date: then',
        'Ledgehill-Attempt-Id: a1',
      ])
        assert.is(lines.filter((given) => given.toLowerCase() === line.toLowerCase()).length, 1, line);
      assert.not.match(head, /x-drop|\nte:|proxy-connection|timeout=9/i);
      await delay(monotonicClock, 20_000);
    }
  }));

test('the host is found whatever its case and port, and a place without a rule is not there', () =>
  withEdge(ok, async (edge, server) => {
    const client = await edge.connect();
    client.socket.write(post('/idem/x').replace('a.example', 'A.Example:8080'));
    assert.match(await client.until('ok'), /^HTTP\/1.1 200 OK\r\n/);
    assert.match(server.received(), /host: A\.Example:8080\r\n/i);
    for (const bytes of [post('/idem'), post('/none/x'), post('/idem/x').replace('a.example', 'b.example')]) {
      const other = await edge.connect();
      other.socket.write(bytes);
      assert.match(await other.until('\r\n\r\n'), /^HTTP\/1.1 404 /);
    }
  }));

test('an answer comes back with its status, headers and bytes as the server gave them', () =>
  withEdge(
    (socket, request) =>
      socket.write(
        answerTo(
          request,
          '\x00\xff\r\n0\r\n\r\n',
          ['X-Two: 1', 'X-Two: 2', 'Date: then', 'Keep-Alive: timeout=1'],
          '418 Teapot',
        ),
      ),
    async (edge) => {
      const client = await edge.connect();
      client.socket.write(post('/once/x'));
      const text = await client.until('0\r\n\r\n');
      assert.match(text, /^HTTP\/1.1 418 /);
      for (const line of [
        'Ledgehill-Attempt-Id: a1',
        'Ledgehill-Server-Seal: s.1',
        'X-Two: 1',
        'X-Two: 2',
        'Date: then',
      ])
        assert.ok(text.includes(`\r\n${line}\r\n`), line);
      assert.not.match(text, 'timeout=1\r\n');
      assert.ok(text.endsWith('\r\n\r\n\x00\xff\r\n0\r\n\r\n'));
    },
  ));

test('a body in chunks is taken, and one that is as large as allowed', () =>
  withEdge(ok, async (edge, server) => {
    const client = await edge.connect();
    client.socket.write(post('/idem/x', 'y'.repeat(1_000)));
    assert.match(await client.until('ok'), /^HTTP\/1.1 200 /);
    const chunked = await edge.connect();
    chunked.socket.write(
      `POST /idem/x HTTP/1.1\r\nHost: a.example\r\nLedgehill-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n${chunk('he')}${chunk('llo')}0\r\n\r\n`,
    );
    assert.match(await chunked.until('ok'), /^HTTP\/1.1 200 /);
    assert.match(server.received(), /content-length: 5\r\n/i);
    assert.ok(server.received().endsWith('\r\n\r\nhello'));
  }));

test('a body that is too large is refused with 413 at once, and nothing is delivered', () =>
  withEdge(ok, async (edge, server) => {
    const stated = await edge.connect();
    stated.socket.write(post('/idem/x', 'y'.repeat(1_001)));
    assert.match(await stated.ended(), /^HTTP\/1.1 413 [^]*connection: close/i);
    const chunked = await edge.connect();
    chunked.socket.write(
      `POST /once/x HTTP/1.1\r\nHost: a.example\r\nLedgehill-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n${chunk('y'.repeat(1_200))}`,
    );
    assert.match(await chunked.until('\r\n\r\n'), /^HTTP\/1.1 413 /);
    assert.is(server.received(), '');
  }));

test('a head that is malformed gets 400 and one that is too large 431, and the connection ends', () =>
  withEdge(ok, async (edge, server) => {
    for (const [bytes, status] of [
      ['nonsense\r\n\r\n', '400'],
      ['POST /idem/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: x\r\n\r\n', '400'],
      ['POST /idem/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n', '400'],
      [`POST /idem/x HTTP/1.1\r\nHost: a.example\r\nX-Long: ${'y'.repeat(40_000)}\r\n\r\n`, '431'],
    ] as const) {
      const client = await edge.connect();
      client.socket.write(bytes);
      assert.match(await client.ended(), new RegExp(`^HTTP/1.1 ${status} `));
    }
    assert.is(server.received(), '');
  }));

test('a head that does not come to its end in time gets 408, for nothing has run', () =>
  withEdge(ok, async (edge) => {
    const client = await edge.connect();
    client.socket.write('POST /idem/x HTTP/1.1\r\nHost: a.exa');
    assert.match(await client.ended(), /^HTTP\/1.1 408 /);
  }));

test('bytes that are no head never get into an answer that is under way', () =>
  withEdge(
    (socket, request) => {
      socket.write(`${streamHead(request)}${chunk(event(1))}`);
    },
    async (edge) => {
      const client = await edge.connect();
      client.socket.write(post('/stream/x'));
      await client.until(event(1));
      client.socket.write('nonsense\r\n\r\n');
      const text = await client.ended();
      assert.is(text.match(/HTTP\/1.1/g)?.length, 1, text);
      assert.ok(!text.endsWith('0\r\n\r\n'));
    },
  ));

test('bytes that are no head are no answer to the one before them, and do not keep its own answer away', () => {
  let answer = (): void => undefined;
  const serve: Serve = (socket, request) => {
    answer = () => void socket.write(answerTo(request, 'own'));
  };
  return withEdge(serve, async (edge, server) => {
    const client = await edge.connect();
    client.socket.write(post('/once/x'));
    await seen(() => server.received() !== '');
    client.socket.write('nonsense\r\n\r\n');
    await seen(() => edge.node.counters.read()['http.bad.HPE_INVALID_METHOD'] === 1);
    assert.is(client.received(), '');
    answer();
    const text = await client.ended();
    assert.match(text, /^HTTP\/1.1 200 [^]*own$/);
    assert.is(text.match(/HTTP\/1.1/g)?.length, 1, text);
  });
});

test('without a server the client is told when to come back, in fractions of a second', () =>
  withEdge(ok, async (edge) => {
    edge.show([]);
    const client = await edge.connect();
    client.socket.write(post('/brief/x'));
    const text = await client.until('\r\n\r\n');
    assert.match(text, /^HTTP\/1.1 503 /);
    const seconds = /retry-after: (\S+)\r\n/i.exec(text)?.[1];
    assert.match(seconds ?? '', /^\d+\.\d{3}$/);
    assert.ok(Number(seconds) > 0 && Number(seconds) <= 5);
  }));

test('a stream that the server cuts off looks cut off', () =>
  withEdge(
    (socket, request) => {
      socket.write(`${streamHead(request)}${chunk(event(1))}${chunk(event(2))}`, () =>
        setTimeout(() => socket.resetAndDestroy(), 30),
      );
    },
    async (edge, server) => {
      const client = await edge.connect();
      client.socket.write(post('/stream/x'));
      const text = await client.ended();
      assert.ok(text.includes(event(2)) && !text.endsWith('0\r\n\r\n'));
      assert.is(server.received().match(/POST/g)?.length, 1);
    },
  ));

test('a long body that the server cuts off looks cut off', () =>
  withEdge(
    (socket, request) => {
      socket.write(answerTo(request, 'y'.repeat(600_000)).slice(0, 500_000), () =>
        setTimeout(() => socket.resetAndDestroy(), 100),
      );
    },
    async (edge, server) => {
      const client = await edge.connect();
      client.socket.write(post('/once/x'));
      const text = await client.ended();
      assert.ok(text === '' || /^HTTP\/1.1 (502|200) /.test(text), text.slice(0, 100));
      assert.ok(
        !text.startsWith('HTTP/1.1 200') || (/content-length: 600000\r\n/i.test(text) && text.length < 600_000),
      );
      assert.is(server.received().match(/POST/g)?.length, 1);
    },
  ));

test('a stream that may be resumed goes on at another server inside one answer, with its first head', async () => {
  let arrivals = 0;
  const serve: Serve = (socket, request) => {
    if (request.includes('/idem/')) {
      socket.write(answerTo(request, 'ok'));
      return;
    }
    arrivals += 1;
    if (arrivals === 1)
      socket.write(`${streamHead(request)}${chunk(event(1))}${chunk(event(2))}${chunk('id: 3\nda')}`, () =>
        setTimeout(() => socket.resetAndDestroy(), 30),
      );
    else socket.write(`${streamHead(request).replace('s.1', 's.2')}${chunk(event(3))}0\r\n\r\n`);
  };
  const use = async (edge: Edge, first: RawServer, second: RawServer): Promise<void> => {
    const earlier = await edge.connect();
    earlier.socket.write(Array.from({ length: 8 }, (_, place) => post('/idem/x', '', [], `e${place}`)).join(''));
    await earlier.until('Ledgehill-Attempt-Id: e7');
    const client = await edge.connect();
    client.socket.write(post('/resumed/x'));
    const text = await client.until('0\r\n\r\n');
    assert.is(
      text
        .slice(text.indexOf('\r\n\r\n') + 4)
        .replace(/(^|\r\n)[0-9a-f]+\r\n/g, '')
        .replace(/\r\n/g, ''),
      `${event(1)}${event(2)}${event(3)}`,
    );
    assert.ok(text.includes('s.1') && !text.includes('s.2'));
    assert.match(`${first.received()}${second.received()}`, /last-event-id: 2\r\n/i);
  };
  await withEdge(serve, use, 2);
});

test('a success without its seal, or of another exchange, is not given on', async () => {
  const spoiled: readonly ((request: string) => string)[] = [
    (request) => answerTo(request, 'bad').replace('Ledgehill-Server-Seal: s.1\r\n', ''),
    (request) => answerTo(request, 'bad', ['Content-Encoding: gzip']),
    (request) => answerTo(request, 'bad').replace('Ledgehill-Attempt-Id: a1', 'Ledgehill-Attempt-Id: b1'),
  ];
  for (const spoil of spoiled)
    await withEdge(
      (socket, request, place) => socket.write(place === 0 ? spoil(request) : answerTo(request, 'ok')),
      async (edge) => {
        const once = await edge.connect();
        once.socket.write(post('/once/x'));
        assert.match(await once.until('\r\n\r\n'), /^HTTP\/1.1 502 /);
        const idem = await edge.connect();
        idem.socket.write(post('/idem/x', '', [], 'a2'));
        assert.match(await idem.until('ok'), /^HTTP\/1.1 200 /);
      },
    );
});

test('what a server turned away is told as a promise, and its own errors as they are', () =>
  withEdge(
    (socket, request, place) =>
      socket.write(answerTo(request, 'busy', place === 0 ? ['Ledgehill-Not-Run: 1'] : [], '503 Busy')),
    async (edge, server) => {
      const away = await edge.connect();
      away.socket.write(post('/brief/x'));
      assert.match(await away.until('\r\n\r\n'), /^HTTP\/1.1 (503|429) [^]*retry-after/i);
      const ran = await edge.connect();
      ran.socket.write(post('/once/x', '', [], 'a2'));
      const text = await ran.until('\r\n\r\n');
      assert.match(text, /^HTTP\/1.1 502 /);
      assert.is(server.received().match(/POST/g)?.length, 2);
    },
  ));

test('a client that leaves ends the work at the server', () =>
  withEdge(
    () => undefined,
    async (edge, server) => {
      const client = await edge.connect();
      client.socket.write(post('/once/x'));
      await seen(() => server.received() !== '');
      client.socket.destroy();
      for (let look = 0; look < 200 && server.sockets[0]?.destroyed !== true; look += 1)
        await delay(monotonicClock, 10_000);
      assert.is(server.sockets[0]?.destroyed, true);
    },
  ));

test('requests one behind the other get their answers in order', () =>
  withEdge(
    (socket, request) =>
      setTimeout(() => socket.write(answerTo(request, `[${idIn(request)}]`)), idIn(request) === 'a1' ? 60 : 1),
    async (edge) => {
      const client = await edge.connect();
      client.socket.write(`${post('/idem/x')}${post('/idem/y', '', [], 'a2')}`);
      const text = await client.until('[a2]');
      assert.ok(text.indexOf('[a1]') > 0 && text.indexOf('[a1]') < text.indexOf('[a2]'));
    },
  ));

test('who is told to stop lets idle connections go, and says so with what it still answers', () =>
  withEdge(
    (socket, request) => setTimeout(() => socket.write(answerTo(request, 'ok')), 100),
    async (edge, server) => {
      const idle = await edge.connect();
      idle.socket.write(post('/idem/x'));
      await idle.until('ok');
      const busy = await edge.connect();
      busy.socket.write(post('/idem/x', '', [], 'a2'));
      await seen(() => server.received().includes('a2'));
      edge.retire();
      assert.match(await idle.ended(), /ok$/);
      assert.match(await busy.until('ok'), /^HTTP\/1.1 200 /);
    },
  ));

test('plain requests of one place spread over the servers of their service, also one after the other', () =>
  withEdge(
    ok,
    async (edge, first, other) => {
      const client = await edge.connect();
      for (let place = 0; place < 30; place += 1) {
        client.socket.write(post('/idem/x', '', [], `spread-${place}`));
        await seen(() => client.received().split('HTTP/1.1 200').length === place + 2);
      }
      assert.match(first.received(), /spread-/);
      assert.match(other.received(), /spread-/);
    },
    2,
  ));

test.run();
