import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Left, Right } from 'purify-ts';
import { request } from 'undici';
import { addDocumentPaths, documentPath } from '../../platform/operator/operator-paths.js';
import { typedError } from '../../src/common/typed-error.js';
import type { CoreClient } from '../../src/process/core-client.js';
import { openCounters } from '../../src/process/counters.js';
import { openHttpServer } from '../../src/process/http/http-server.js';
import { openOperatorService } from '../../src/process/operator/operator-service.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import { inMemoryCore } from '../router/loopback.js';
import { grownDocument, pageDocument, retryLimits, withSecondRoute } from './documents.js';

type Told = { readonly status: number; readonly text: string; readonly retryAfter: unknown };
type Call = (method: 'GET' | 'PUT', body?: string, expected?: string) => Promise<Told>;

const withPaths = async (core: CoreClient, use: (call: Call) => Promise<void>): Promise<void> => {
  const [port] = await freePorts(1);
  const http = openHttpServer(`127.0.0.1:${port}`, openCounters());
  addDocumentPaths(
    http,
    openOperatorService(core, () => 0),
    retryLimits,
  );
  await http.listen();
  try {
    await use(async (method, body, expected) => {
      const told = await request(`http://127.0.0.1:${port}${documentPath}`, {
        method,
        body,
        headers: { connection: 'close', ...(expected === undefined ? {} : { 'if-match': expected }) },
      });
      return { status: told.statusCode, text: await told.body.text(), retryAfter: told.headers['retry-after'] };
    });
  } finally {
    await http.close();
  }
};

const page = `${JSON.stringify(pageDocument, undefined, 1)}\n`;
const versioned = (ver: number): string => JSON.stringify({ ...pageDocument, ver });

test('a document is taken, taken again, and read back byte for byte', () =>
  withPaths(inMemoryCore(), async (call) => {
    assert.is((await call('GET')).status, 404);
    assert.is((await call('PUT', page, '0')).status, 200);
    assert.is((await call('PUT', page, '0')).status, 200);
    assert.equal({ ...(await call('GET')), retryAfter: undefined }, { status: 200, text: page, retryAfter: undefined });
    assert.is((await call('PUT', versioned(9), '6')).status, 412);
    assert.is((await call('PUT', versioned(7), '7')).status, 412);
    assert.is((await call('PUT', versioned(9), '7')).status, 200);
    assert.is((await call('PUT', versioned(10), '7')).status, 412);
    assert.is((await call('GET')).text, versioned(9));
  }));

test('what does not hold is refused and changes nothing', () =>
  withPaths(inMemoryCore(), async (call) => {
    const faulty = [
      '{',
      '',
      JSON.stringify(withSecondRoute({ svc: 'none' })),
      JSON.stringify(withSecondRoute({ prefix: '/lohu930/' })),
      JSON.stringify(withSecondRoute({ svc: undefined, split: [{ svc: 'huvo11a', wt: 0 }] })),
      JSON.stringify(withSecondRoute({ timeout_ms: 0 })),
    ];
    for (const text of faulty) assert.is((await call('PUT', text, '0')).status, 400, text);
    assert.is((await call('PUT', page)).status, 400);
    assert.is((await call('PUT', page, 'seven')).status, 400);
    assert.is((await call('PUT', ' '.repeat(6 << 20), '0')).status, 413);
    assert.is((await call('GET')).status, 404);
  }));

test('a large document is taken whole', () =>
  withPaths(inMemoryCore(), async (call) => {
    const text = `${JSON.stringify(grownDocument(350))}${' '.repeat(4 << 20)}`;
    assert.is((await call('PUT', text, '0')).status, 200);
    assert.ok((await call('GET')).text === text);
  }));

test('without a core in reach the operator is told to come back', async () => {
  for (const type of ['unreachable', 'undecided'] as const)
    await withPaths({ ask: () => Promise.resolve(Left(typedError(type, 'no word'))) }, async (call) => {
      for (const told of [await call('PUT', page, '0'), await call('GET')]) {
        assert.is(told.status, 503);
        assert.ok(told.retryAfter !== undefined);
      }
    });
});

test('a document that can not be committed is told so at once by a machine that knows of no core', () =>
  withPaths({ ask: () => Promise.reject(new Error('the core was asked')) }, async (call) => {
    assert.is((await call('PUT', '{', '0')).status, 400);
    assert.is((await call('PUT', page)).status, 400);
    assert.is((await call('PUT', JSON.stringify(withSecondRoute({ svc: 'none' })), '0')).status, 400);
    assert.is((await call('PUT', ' '.repeat(6 << 20), '0')).status, 413);
  }));

test('a document that may have been committed too long ago gets no definite answer', () =>
  withPaths(
    {
      ask: () =>
        Promise.resolve(
          Right({ type: 'applied', outcome: { type: 'proposal', outcome: { type: 'forgotten', revision: 9 } } }),
        ),
    },
    async (call) => {
      const told = await call('PUT', page, '0');
      assert.is(told.status, 503);
      assert.ok(told.retryAfter !== undefined);
    },
  ));

test.run();
