import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Left, Right } from 'purify-ts';
import { request } from 'undici';
import { typedError } from '../../src/common/typed-error.js';
import type { CoreClient } from '../../src/process/core-client.js';
import { openCounters } from '../../src/process/counters.js';
import { openHttpServer, type HttpServer } from '../../src/process/http/http-server.js';
import { addOperatorPaths } from '../../src/process/http/operator-paths.js';
import { openOperatorService } from '../../src/process/operator/operator-service.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import { inMemoryCore } from '../router/loopback.js';

type Response = { readonly status: number; readonly etag: unknown; readonly text: string };

const withOperator = async (
  core: CoreClient,
  use: (
    call: (
      method: 'GET' | 'PUT' | 'DELETE',
      path: string,
      body?: unknown,
      headers?: Readonly<Record<string, string>>,
    ) => Promise<Response>,
  ) => Promise<void>,
): Promise<void> => {
  const [port] = await freePorts(1);
  const http: HttpServer = openHttpServer(`127.0.0.1:${port}`, openCounters());
  addOperatorPaths(
    http,
    openOperatorService(core, () => 0),
  );
  await http.listen();
  try {
    await use(async (method, path, body, headers = {}) => {
      const response = await request(`http://127.0.0.1:${port}${path}`, {
        method,
        headers: { ...headers, connection: 'close' },
        body: body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body),
      });
      return { status: response.statusCode, etag: response.headers['etag'], text: await response.body.text() };
    });
  } finally {
    await http.close();
  }
};

const operator = suite('operator');

operator('a put is committed on its expected revision, a second one on the same revision is a conflict', () =>
  withOperator(inMemoryCore(), async (call) => {
    const current = await call('GET', '/operator/setup');
    assert.equal([current.status, current.etag], [200, '"1"']);
    const committed = await call('PUT', '/operator/setup', sampleSetup('two'), {
      'if-match': '"1"',
      'proposal-id': 'p2',
    });
    assert.equal([committed.status, committed.etag], [200, '"2"']);
    const conflict = await call('PUT', '/operator/setup', sampleSetup('three'), {
      'if-match': '"1"',
      'proposal-id': 'p3',
    });
    assert.is(conflict.status, 409);
    assert.match(conflict.text, '"newest":2');
    assert.match((await call('GET', '/operator/setup')).text, '"name":"two"');
    assert.is((await call('GET', '/operator/proposals/p2')).status, 200);
    assert.is((await call('GET', '/operator/proposals/p3')).status, 409);
    assert.is((await call('PUT', '/operator/setup', sampleSetup('three'))).status, 200);
  }),
);

operator('an invalid setup is refused with the paths of its errors, and never proposed', () =>
  withOperator(inMemoryCore(), async (call) => {
    const valid = sampleSetup('bad');
    const invalid = await call('PUT', '/operator/setup', {
      ...valid,
      tiers: undefined,
      warmup: { ...valid.warmup, vnodes: 0 },
    });
    assert.is(invalid.status, 422);
    for (const path of ['"path":"tiers"', '"path":"warmup.vnodes"']) assert.match(invalid.text, path);
    assert.is((await call('PUT', '/operator/setup', '{')).status, 422);
    assert.is((await call('PUT', '/operator/setup', sampleSetup('x'), { 'if-match': '1' })).status, 400);
    assert.is((await call('PUT', '/operator/setup', sampleSetup('x'), { 'proposal-id': 'a b' })).status, 400);
    assert.is((await call('PUT', '/operator/setup', 'x'.repeat(5 << 20))).status, 413);
    assert.equal((await call('GET', '/operator/setup')).etag, '"1"');
  }),
);

operator('a proposal without a final reply is unknown, never refused, and its withdrawal decides it', async () => {
  const core = inMemoryCore();
  let isSilent = true;
  const silentCore: CoreClient = {
    ask: (coreRequest, budgetUs) =>
      isSilent && coreRequest.type === 'propose'
        ? Promise.resolve(Left(typedError('undecided', 'silent')))
        : core.ask(coreRequest, budgetUs),
  };
  await withOperator(silentCore, async (call) => {
    const unknown = await call('PUT', '/operator/setup', sampleSetup('two'), {
      'if-match': '"1"',
      'proposal-id': 'p2',
    });
    assert.is(unknown.status, 202);
    assert.match(unknown.text, '"outcome":"unknown","proposal":"p2"');
    assert.is((await call('GET', '/operator/proposals/p2')).status, 202);
    isSilent = false;
    const withdrawn = await call('DELETE', '/operator/proposals/p2');
    assert.equal([withdrawn.status, withdrawn.text.includes('"void"')], [200, true]);
    const late = await call('PUT', '/operator/setup', sampleSetup('two'), { 'if-match': '"1"', 'proposal-id': 'p2' });
    assert.is(late.status, 409);
    assert.equal((await call('GET', '/operator/setup')).etag, '"1"');
  });
});

operator('every call ends within the second that clients wait, and a large document gets more time', async () => {
  const budgets: number[] = [];
  const core: CoreClient = {
    ask: (_question, budgetUs) => {
      budgets.push(budgetUs);
      return Promise.resolve(Left(typedError('unreachable', 'no leader')));
    },
  };
  const service = openOperatorService(core, () => 0);
  const setup = sampleSetup('one');
  const putText = (text: string) => service.putOriginal({ setup, original: { version: 1, text }, expectedVersion: 0 });
  await service.read();
  await service.put(setup, 'p', 0);
  await service.ask('p');
  await service.withdraw('p');
  await putText('x'.repeat(20_000));
  for (const budgetUs of budgets) assert.ok(budgetUs <= 800_000, `${budgetUs} us`);
  await putText('x'.repeat(1 << 20));
  const largeBudgetUs = budgets[budgets.length - 1] ?? 0;
  assert.ok(largeBudgetUs > 1_000_000 && largeBudgetUs <= 3_000_000, `${largeBudgetUs} us`);
});

operator('a forgotten outcome is reported as unknown, never as a conflict', async () => {
  const core: CoreClient = {
    ask: () =>
      Promise.resolve(
        Right({ type: 'applied', outcome: { type: 'proposal', outcome: { type: 'forgotten', revision: 9 } } }),
      ),
  };
  await withOperator(core, async (call) => {
    const response = await call('PUT', '/operator/setup', sampleSetup('two'), {
      'if-match': '"1"',
      'proposal-id': 'p2',
    });
    assert.is(response.status, 202);
    assert.match(response.text, '"outcome":"unknown"');
  });
});

operator.run();
