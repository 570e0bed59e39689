import { createServer } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { httpText } from '../../src/cli/http-call.js';
import { readJournal } from '../../src/router/explain/saved-journal.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import { pieceText, writeWorkText } from '../../src/rehearsal/stand-in/work-text.js';
import { listedAt, openLoopback, type Loopback, type Sent } from './loopback.js';

const edge = suite<{ loopback: Loopback | undefined }>('edge', { loopback: undefined });

const opened = ({ loopback }: { readonly loopback: Loopback | undefined }): Loopback => {
  if (loopback === undefined) throw new Error('no loopback is open');
  return loopback;
};

edge.before(async (context) => {
  context.loopback = await openLoopback(3, 1);
});

edge.after((context) => opened(context).close());

const textOf = (work: string, pieces: number): string => writeWorkText({ work, call: work, pieces });

const typeOf = (sent: Sent): string | undefined => /"type":"([a-z-]+)"/.exec(sent.text)?.[1];

const linesOf = (sent: Sent): readonly string[] => sent.text.split('\n').filter((line) => line !== '');

edge('what does not hold is a 4xx at once and nothing is delivered', async (context) => {
  const loopback = opened(context);
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
    const sent = await loopback.send(body, headers);
    assert.equal([sent.status, typeOf(sent)], [status, type], sent.text);
    assert.match(sent.text, '"outcome":"refused"');
  }
  assert.is(loopback.history.runs.length, 0);
});

edge('a model exchange streams numbered pieces and an explicit end, a web exchange one answer', async (context) => {
  const loopback = opened(context);
  const sent = await loopback.send({ kind: 'question', opening: 'o', text: textOf('s1', 4) });
  assert.is(sent.status, 200);
  assert.equal(linesOf(sent), [
    ...[0, 1, 2, 3].map((piece) => JSON.stringify({ piece, text: pieceText('s1', piece) })),
    JSON.stringify({ end: true, pieces: 4 }),
  ]);
  const web = await loopback.send({ kind: 'check', text: textOf('s2', 0) });
  assert.is(web.status, 200);
  assert.match(web.text, 'well');
});

edge('a key of a run-once kind runs once, however often and at once it comes', async (context) => {
  const loopback = opened(context);
  const body = { kind: 'summary', opening: 'o', text: textOf('k1', 3) };
  const sents = await Promise.all([1, 2, 3, 4].map(() => loopback.send(body, { 'idempotency-key': 'k1' })));
  assert.equal(sents.map((sent) => sent.status).sort(), [200, 409, 409, 409]);
  assert.is(loopback.history.runs.filter((run) => run.work === 'k1').length, 1);
  const repeated = sents.find((sent) => sent.status === 409);
  assert.match(repeated?.text ?? '', '"outcome":"unknown"');
});

edge('explain tells rule, tier, range, owners and every attempt', async (context) => {
  const loopback = opened(context);
  const sent = await loopback.send({ kind: 'question', opening: 'o', text: textOf('x1', 2) });
  const exchange = String(sent.headers['x-exchange-id']);
  const story = loopback.node.router.stories.find(exchange);
  assert.equal([story?.kind, story?.tier, story?.service], ['question', 'first', 'model']);
  assert.equal(
    story?.steps.map((step) => step.what),
    ['deliver', 'done'],
  );
  const facts = JSON.stringify(story?.steps[0]?.facts);
  for (const word of ['"range"', '"owners"', '"pressure"', '"cold"', '"attempt":1']) assert.match(facts, word);
});

edge('a node gives its journal of exchanges out, which can be read back whole', async (context) => {
  const loopback = opened(context);
  const sent = await loopback.send({ kind: 'question', opening: 'o', text: textOf('j1', 2) });
  const text = (await httpText(loopback.http, '/journal').run()).unsafeCoerce();
  const stories = readJournal(text).unsafeCoerce();
  assert.ok(stories.some((story) => story.exchange === sent.headers['x-exchange-id'] && story.steps.length > 1));
});

edge.run();

const faults = suite('edge under faults');

const midStream = async (
  loopback: Loopback,
  kind: string,
  work: string,
): Promise<{ readonly sent: Promise<Sent>; readonly crash: () => void }> => {
  const sent = loopback.send({ kind, opening: 'o', text: textOf(work, 40) });
  const runOf = () => loopback.history.runs.find((run) => run.work === work);
  while (runOf() === undefined) await new Promise((resolve) => setImmediate(resolve));
  const serverName = runOf()?.server;
  const story = () => loopback.node.router.view().exchanges;
  while (![...story().values()].some((exchange) => exchange.started))
    await new Promise((resolve) => setImmediate(resolve));
  return { sent, crash: () => loopback.servers.find((server) => server.listed.id === serverName)?.crash() };
};

faults('a resumable stream is carried over at the next piece when its server crashes', async () => {
  const loopback = await openLoopback(3, 0, 5_000);
  try {
    for (let place = 0; place < 5; place += 1)
      await loopback.send({ kind: 'question', opening: 'o', text: textOf(`warm${place}`, 1) });
    const { sent, crash } = await midStream(loopback, 'question', 'c1');
    crash();
    const ended = await sent;
    assert.is(ended.broken, false);
    assert.equal(
      linesOf(ended).slice(0, 40),
      Array.from({ length: 40 }, (_, piece) => JSON.stringify({ piece, text: pieceText('c1', piece) })),
    );
    const froms = loopback.history.runs.filter((run) => run.work === 'c1').map((run) => run.fromPiece);
    assert.is(froms.length, 2);
    assert.ok((froms[1] ?? 0) > 0);
  } finally {
    loopback.close();
  }
});

faults('a run-once stream breaks visibly when its server crashes, and does not run again', async () => {
  const loopback = await openLoopback(3, 0, 5_000);
  try {
    const { sent, crash } = await midStream(loopback, 'summary', 'c2');
    crash();
    const ended = await sent;
    assert.is(ended.broken, true);
    assert.not.match(ended.text, '"end"');
    assert.is(loopback.history.runs.filter((run) => run.work === 'c2').length, 1);
  } finally {
    loopback.close();
  }
});

faults('an address that now belongs to another service gets nothing, on new and on kept links', async () => {
  const loopback = await openLoopback(1, 0);
  try {
    const [old] = loopback.servers;
    if (old === undefined) throw new Error('no server');
    assert.is((await loopback.send({ kind: 'question', opening: 'o', text: textOf('a1', 1) })).status, 200);
    old.crash();
    const port = Number(old.listed.address.split(':')[1]);
    const usurper = await loopback.open(listedAt('other', 'ledger', port), 'model');
    const sent = await loopback.send({ kind: 'question', opening: 'o', text: textOf('a2', 1) });
    assert.is(sent.status, 503);
    assert.match(sent.text, '"outcome":"refused"');
    assert.ok(Number(sent.headers['retry-after']) >= 1);
    assert.is(loopback.history.runs.filter((run) => run.server === 'other').length, 0);
    usurper.crash();
  } finally {
    loopback.close();
  }
});

faults('a server that skips, repeats or miscounts pieces breaks the stream visibly', async () => {
  const wrongLines: readonly (readonly string[])[] = [
    ['{"piece":0,"text":"a"}', '{"piece":2,"text":"c"}', '{"end":true,"pieces":3}'],
    ['{"piece":0,"text":"a"}', '{"piece":0,"text":"a"}', '{"end":true,"pieces":2}'],
    ['{"piece":0,"text":"a"}', '{"end":true,"pieces":2}'],
    ['{"piece":0,"text":"a"}', 'nonsense'],
    ['{"piece":0,"text":"a"}'],
  ];
  for (const lines of wrongLines) {
    const loopback = await openLoopback(0, 0);
    const [port = 0] = await freePorts(1);
    const server = createServer((message, response) => {
      if (message.url === '/identity') response.end('{"id":"m1","incarnation":"i1","service":"model"}');
      else {
        response.writeHead(200);
        response.end(`${lines.join('\n')}\n`);
      }
    });
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    loopback.show([listedAt('m1', 'model', port)]);
    try {
      const sent = await loopback.send({ kind: 'summary', opening: 'o', text: 't' });
      assert.is(sent.broken, true, lines.join(' '));
      assert.not.match(sent.text, '"end"');
    } finally {
      server.closeAllConnections();
      server.close();
      loopback.close();
    }
  }
});

faults.run();
