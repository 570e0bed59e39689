import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { listedAt } from '../router/loopback.js';
import { coreWith, edgeDocument, openEdge, type Edge, type RawClient } from './raw/open-edge.js';
import { openRawServer, type RawServer } from './raw/raw-server.js';
import { answerTo, chunk, event, post, seen, streamHead, type Serve } from './raw/with-edge.js';
import { documentWith, recordWith, type DocumentTenant } from './tenant-documents.js';

const archiveKey = 'archive-secret-key-1';
const pressKey = 'press-secret-key-1';
const secondPressKey = 'press-secret-key-2';
const tenants: readonly DocumentTenant[] = [
  { name: 'archive', keys: [archiveKey], prio: 1 },
  { name: 'press', keys: [pressKey, secondPressKey], prio: 0 },
];

const ok: Serve = (socket, request) => void socket.write(answerTo(request, 'ok'));
const withKey = (key: string): readonly string[] => [`Authorization: Bearer ${key}`];

type Scene = { readonly edge: Edge; readonly server: RawServer; readonly client: RawClient; readonly said: string[] };

const withTenants = async (
  use: (scene: Scene) => Promise<void>,
  serve: Serve = ok,
  document: unknown = documentWith(tenants),
): Promise<void> => {
  const said: string[] = [];
  const server = await openRawServer(serve);
  const edge = await openEdge(coreWith(document), true, {
    change: (what, facts) => void said.push(JSON.stringify([what, facts])),
  });
  edge.show([
    { ...listedAt('i-web', 'web', 1), address: server.address },
    { ...listedAt('i-model', 'model', 1), address: server.address },
  ]);
  try {
    await use({ edge, server, client: await edge.connect(), said });
  } finally {
    edge.close();
    server.close();
  }
};

/** Sends a request on a connection that stands, and gives the answer to it alone. */
const ask = async (client: RawClient, target: string, more: readonly string[], id: string): Promise<string> => {
  const before = client.received().length;
  client.socket.write(post(target, '', more, id));
  await seen(() => /\r\n\r\n[^]+/.test(client.received().slice(before)));
  return client.received().slice(before);
};

const headsIn = (text: string): readonly string[] => text.split('\r\n\r\n').filter((head) => head.startsWith('POST'));

test('a request without the key of a tenant gets 401 at once and reaches no server', () =>
  withTenants(async ({ edge, server, client }) => {
    const refused: readonly (readonly string[])[] = [
      [],
      withKey('nobody-has-this'),
      withKey(`${archiveKey}x`),
      [`Authorization: Basic ${archiveKey}`],
      ['Authorization: Bearer'],
      ['Ledgehill-Tenant: archive'],
    ];
    for (const [place, more] of refused.entries()) {
      const answer = await ask(client, '/idem/x', more, `a${place}`);
      assert.match(answer, /^HTTP\/1.1 401 /, more.join());
      assert.match(answer, /unknown-key/);
    }
    assert.is(server.received(), '');
    assert.is(edge.node.router.inFlight(), 0);
  }));

test("the server gets the tenant's name in place of the key, whatever the client says there", () =>
  withTenants(async ({ server, client }) => {
    const answer = await ask(
      client,
      '/idem/x',
      [...withKey(archiveKey), 'Ledgehill-Tenant: press', 'ledgehill-tenant: other', 'X-Keep: 1'],
      'a1',
    );
    assert.match(answer, /^HTTP\/1.1 200 /);
    const [head = ''] = headsIn(server.received());
    assert.equal(head.match(/ledgehill-tenant: .*/gi), ['Ledgehill-Tenant: archive']);
    assert.match(head, /x-keep: 1/i);
    assert.not.match(head, /authorization/i);
    assert.not.ok(server.received().includes(archiveKey));
  }));

test('a public route needs no key; a key that is known there still names its tenant, and none is passed on', () =>
  withTenants(async ({ server, client }) => {
    assert.match(await ask(client, '/open/x', [], 'a1'), /^HTTP\/1.1 200 /);
    assert.match(await ask(client, '/open/x', withKey('nobody-has-this'), 'a2'), /^HTTP\/1.1 200 /);
    assert.match(await ask(client, '/open/x', withKey(pressKey), 'a3'), /^HTTP\/1.1 200 /);
    const heads = headsIn(server.received());
    assert.equal(
      heads.map((head) => /ledgehill-tenant: (.*)/i.exec(head)?.[1]),
      [undefined, undefined, 'press'],
    );
    assert.not.match(server.received(), /authorization/i);
  }));

test('where the configuration has no tenants, the header passes as any other', () =>
  withTenants(
    async ({ server, client }) => {
      assert.match(await ask(client, '/idem/x', withKey(archiveKey), 'a1'), /^HTTP\/1.1 200 /);
      assert.match(server.received(), new RegExp(`authorization: Bearer ${archiveKey}`, 'i'));
    },
    ok,
    edgeDocument,
  ));

test('a newer configuration gives and takes keys, also on connections that stand', () =>
  withTenants(async ({ edge, server, client }) => {
    assert.match(await ask(client, '/idem/x', withKey(archiveKey), 'a1'), /^HTTP\/1.1 200 /);
    edge.node.spread.offerSetup(
      recordWith(
        [
          { name: 'archive', keys: [] },
          { name: 'press', keys: [pressKey, 'new-key'] },
        ],
        2,
      ),
    );
    assert.match(await ask(client, '/idem/x', withKey(archiveKey), 'a2'), /^HTTP\/1.1 401 /);
    assert.match(await ask(client, '/idem/x', withKey(secondPressKey), 'a3'), /^HTTP\/1.1 401 /);
    assert.match(await ask(client, '/idem/x', withKey('new-key'), 'a4'), /^HTTP\/1.1 200 /);
    assert.equal(
      headsIn(server.received()).map((head) => /ledgehill-attempt-id: (.*)/i.exec(head)?.[1]),
      ['a1', 'a4'],
    );
  }));

test('a request that waits while its key is taken away is not run, and says so', () => {
  let release = (): void => undefined;
  const slowFirst: Serve = (socket, request, place) => {
    if (place > 0) return void socket.write(answerTo(request, 'ok'));
    socket.write(streamHead(request));
    release = () => void socket.write(`${chunk(event(1))}0\r\n\r\n`);
  };
  const prompt = ['Ledgehill-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410', 'Ledgehill-Token-Count: 1210,8'];
  return withTenants(async ({ edge, server, client }) => {
    client.socket.write(post('/model/x', '', [...prompt, ...withKey(pressKey)], 'lead'));
    await seen(() => server.received().includes('lead'));
    const waiting = await edge.connect();
    waiting.socket.write(post('/model/x', '', [...prompt, ...withKey(archiveKey)], 'held'));
    await seen(() => edge.node.router.inFlight() === 2);
    edge.node.spread.offerSetup(recordWith([{ name: 'press', keys: [pressKey] }], 2));
    release();
    const answer = await waiting.until('\r\n\r\n');
    assert.match(answer, /^HTTP\/1.1 401 /);
    await delay(monotonicClock, 50_000);
    assert.not.match(server.received(), /held/);
    assert.is(edge.node.counters.read()['keys.revokedInFlight'], 1);
  }, slowFirst);
});

test('keys reach no log line, story or counter', () =>
  withTenants(async ({ edge, client, said }) => {
    await ask(client, '/idem/x', withKey(archiveKey), 'a1');
    await ask(client, '/idem/x', withKey('some-wrong-key'), 'a2');
    edge.node.spread.offerSetup(recordWith([{ name: 'press', keys: [pressKey] }], 2));
    await ask(client, '/idem/x', withKey(archiveKey), 'a3');
    const told = JSON.stringify([said, edge.node.router.stories.all(), edge.node.counters.read()]);
    for (const key of [archiveKey, pressKey, 'some-wrong-key']) assert.not.ok(told.includes(key), key);
    assert.ok(told.includes('refused.unknown-key'));
  }));

test.run();
