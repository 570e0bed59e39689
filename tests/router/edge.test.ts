import { createServer } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { fetchText } from '../../src/cli/http-client.js';
import { readJournal } from '../../src/router/explain/saved-journal.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import { pieceText, writeWorkText } from '../../src/rehearsal/stand-in/work-text.js';
import { listedAt, openLoopback, type Loopback, type ExchangeResponse } from './loopback.js';

const edge = suite<{ loopback: Loopback | undefined }>('edge', { loopback: undefined });

const loopbackOf = ({ loopback }: { readonly loopback: Loopback | undefined }): Loopback => {
  if (loopback === undefined) throw new Error('no loopback is open');
  return loopback;
};

edge.before(async (context) => {
  context.loopback = await openLoopback(3, 1);
});

edge.after((context) => loopbackOf(context).close());

const textOf = (work: string, pieces: number): string => writeWorkText({ work, call: work, pieces });

const typeOf = (response: ExchangeResponse): string | undefined => /"type":"([a-z-]+)"/.exec(response.text)?.[1];

const linesOf = (response: ExchangeResponse): readonly string[] =>
  response.text.split('\n').filter((line) => line !== '');

edge('an invalid request gets a 4xx status at once and no server gets it', async (context) => {
  const loopback = loopbackOf(context);
  const cases: readonly (readonly [unknown, Readonly<Record<string, string>>, number, string])[] = [
    ['{', {}, 400, 'bad-exchange'],
    [[], {}, 400, 'bad-exchange'],
    [{ opening: 'o', text: 't' }, {}, 400, 'bad-exchange'],
    [{ kind: 'question', text: 5 }, {}, 400, 'bad-exchange'],
    [{ kind: 'question', text: 't', more: 1 }, {}, 400, 'bad-exchange'],
    [{ kind: 'question', text: 't', budgetUs: 1.5 }, {}, 400, 'bad-exchange'],
    [{ kind: 'poem', text: 't' }, {}, 400, 'unknown-kind'],
    [{ kind: 'summary', text: 't' }, { 'idempotency-key': 'two words' }, 400, 'bad-exchange'],
    [{ kind: 'summary', text: 'x'.repeat(1 << 21) }, {}, 413, 'oversized-body'],
  ];
  for (const [body, headers, status, type] of cases) {
    const response = await loopback.send(body, headers);
    assert.equal([response.status, typeOf(response)], [status, type], response.text);
    assert.match(response.text, '"outcome":"refused"');
  }
  assert.is(loopback.history.runs.length, 0);
});

edge(
  'a model exchange streams numbered pieces and an end marker, a web exchange gets one response',
  async (context) => {
    const loopback = loopbackOf(context);
    const response = await loopback.send({ kind: 'question', opening: 'o', text: textOf('s1', 4) });
    assert.is(response.status, 200);
    assert.equal(linesOf(response), [
      ...[0, 1, 2, 3].map((piece) => JSON.stringify({ piece, text: pieceText('s1', piece) })),
      JSON.stringify({ end: true, pieces: 4 }),
    ]);
    const web = await loopback.send({ kind: 'check', text: textOf('s2', 0) });
    assert.is(web.status, 200);
    assert.match(web.text, 'well');
  },
);

edge('concurrent requests with one idempotency key of a run-once kind run once', async (context) => {
  const loopback = loopbackOf(context);
  const body = { kind: 'summary', opening: 'o', text: textOf('k1', 3) };
  const responses = await Promise.all([1, 2, 3, 4].map(() => loopback.send(body, { 'idempotency-key': 'k1' })));
  assert.equal(responses.map((response) => response.status).sort(), [200, 409, 409, 409]);
  assert.is(loopback.history.runs.filter((run) => run.work === 'k1').length, 1);
  const repeated = responses.find((response) => response.status === 409);
  assert.match(repeated?.text ?? '', '"outcome":"unknown"');
});

edge('the trace of an exchange has its rule, tier, range, owners and every attempt', async (context) => {
  const loopback = loopbackOf(context);
  const response = await loopback.send({ kind: 'question', opening: 'o', text: textOf('x1', 2) });
  const exchange = String(response.headers['x-exchange-id']);
  const trace = loopback.node.router.stories.find(exchange);
  assert.equal([trace?.kind, trace?.tier, trace?.service], ['question', 'first', 'model']);
  assert.equal(
    trace?.steps.map((step) => step.what),
    ['deliver', 'done'],
  );
  const facts = JSON.stringify(trace?.steps[0]?.facts);
  for (const field of ['"range"', '"owners"', '"pressure"', '"cold"', '"attempt":1']) assert.match(facts, field);
});

edge('the journal of a node can be fetched and parsed', async (context) => {
  const loopback = loopbackOf(context);
  const response = await loopback.send({ kind: 'question', opening: 'o', text: textOf('j1', 2) });
  const text = (await fetchText(loopback.http, '/journal').run()).unsafeCoerce();
  const traces = readJournal(text).unsafeCoerce();
  assert.ok(traces.some((trace) => trace.exchange === response.headers['x-exchange-id'] && trace.steps.length > 1));
});

edge.run();

const faults = suite('edge under faults');

const startStream = async (
  loopback: Loopback,
  kind: string,
  work: string,
): Promise<{ readonly sent: Promise<ExchangeResponse>; readonly crash: () => void }> => {
  const response = loopback.send({ kind, opening: 'o', text: textOf(work, 40) });
  const runOf = () => loopback.history.runs.find((run) => run.work === work);
  while (runOf() === undefined) await new Promise((resolve) => setImmediate(resolve));
  const serverName = runOf()?.server;
  const exchanges = () => loopback.node.router.view().exchanges;
  while (![...exchanges().values()].some((exchange) => exchange.started))
    await new Promise((resolve) => setImmediate(resolve));
  return { sent: response, crash: () => loopback.servers.find((server) => server.listed.id === serverName)?.crash() };
};

faults('a resumable stream continues from another server at the next piece when its server crashes', async () => {
  const loopback = await openLoopback(3, 0, 5_000);
  try {
    for (let index = 0; index < 5; index += 1)
      await loopback.send({ kind: 'question', opening: 'o', text: textOf(`warm${index}`, 1) });
    const { sent, crash } = await startStream(loopback, 'question', 'c1');
    crash();
    const ended = await sent;
    assert.is(ended.broken, false);
    assert.equal(
      linesOf(ended).slice(0, 40),
      Array.from({ length: 40 }, (_, piece) => JSON.stringify({ piece, text: pieceText('c1', piece) })),
    );
    const firstPieces = loopback.history.runs.filter((run) => run.work === 'c1').map((run) => run.fromPiece);
    assert.is(firstPieces.length, 2);
    assert.ok((firstPieces[1] ?? 0) > 0);
  } finally {
    loopback.close();
  }
});

faults('a run-once stream is aborted, not completed, when its server crashes, and does not run again', async () => {
  const loopback = await openLoopback(3, 0, 5_000);
  try {
    const { sent, crash } = await startStream(loopback, 'summary', 'c2');
    crash();
    const ended = await sent;
    assert.is(ended.broken, true);
    assert.not.match(ended.text, '"end"');
    assert.is(loopback.history.runs.filter((run) => run.work === 'c2').length, 1);
  } finally {
    loopback.close();
  }
});

faults(
  'a server at a reused address that belongs to another service gets no exchange, on new or pooled connections',
  async () => {
    const loopback = await openLoopback(1, 0);
    try {
      const [firstServer] = loopback.servers;
      if (firstServer === undefined) throw new Error('no server');
      assert.is((await loopback.send({ kind: 'question', opening: 'o', text: textOf('a1', 1) })).status, 200);
      firstServer.crash();
      const port = Number(firstServer.listed.address.split(':')[1]);
      const replacement = await loopback.openServer(listedAt('other', 'ledger', port), 'model');
      const response = await loopback.send({ kind: 'question', opening: 'o', text: textOf('a2', 1) });
      assert.is(response.status, 503);
      assert.match(response.text, '"outcome":"refused"');
      assert.ok(Number(response.headers['retry-after']) >= 1);
      assert.is(loopback.history.runs.filter((run) => run.server === 'other').length, 0);
      replacement.crash();
    } finally {
      loopback.close();
    }
  },
);

faults(
  'a stream is aborted if its server skips, repeats or miscounts pieces, sends garbage or no end marker',
  async () => {
    const malformedStreams: readonly (readonly string[])[] = [
      ['{"piece":0,"text":"a"}', '{"piece":2,"text":"c"}', '{"end":true,"pieces":3}'],
      ['{"piece":0,"text":"a"}', '{"piece":0,"text":"a"}', '{"end":true,"pieces":2}'],
      ['{"piece":0,"text":"a"}', '{"end":true,"pieces":2}'],
      ['{"piece":0,"text":"a"}', 'nonsense'],
      ['{"piece":0,"text":"a"}'],
    ];
    for (const lines of malformedStreams) {
      const loopback = await openLoopback(0, 0);
      const [port = 0] = await freePorts(1);
      const server = createServer((message, serverResponse) => {
        if (message.url === '/identity') serverResponse.end('{"id":"m1","incarnation":"i1","service":"model"}');
        else {
          serverResponse.writeHead(200);
          serverResponse.end(`${lines.join('\n')}\n`);
        }
      });
      await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
      loopback.publishList([listedAt('m1', 'model', port)]);
      try {
        const response = await loopback.send({ kind: 'summary', opening: 'o', text: 't' });
        assert.is(response.broken, true, lines.join(' '));
        assert.not.match(response.text, '"end"');
      } finally {
        server.closeAllConnections();
        server.close();
        loopback.close();
      }
    }
  },
);

faults.run();
