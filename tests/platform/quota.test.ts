import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { listedAt } from '../router/loopback.js';
import { coreWith, openEdge } from './raw/open-edge.js';
import { openRawServer } from './raw/raw-server.js';
import { answerTo, post } from './raw/with-edge.js';
import { documentWith } from './tenant-documents.js';

const limited = documentWith([
  { name: 'archive', keys: ['archive-key'], unit: 'tok', raw_toks: 200, rate_s: 1_000, burst: 1_000 },
  { name: 'press', keys: ['press-key'] },
]);

test('a tenant without a limit asks no store; one with a limit is told at once when none answers', async () => {
  const server = await openRawServer((socket, request) => void socket.write(answerTo(request, 'ok')));
  const edge = await openEdge(coreWith(limited));
  edge.show([{ ...listedAt('i-web', 'web', 1), address: server.address }]);
  try {
    const free = await edge.connect();
    free.socket.write(post('/idem/x', '', ['Authorization: Bearer press-key'], 'a1'));
    assert.match(await free.until('ok'), /^HTTP\/1.1 200 /);
    const client = await edge.connect();
    client.socket.write(post('/idem/x', '', ['Authorization: Bearer archive-key'], 'a2'));
    const answer = await client.until('\r\n\r\n');
    assert.match(answer, /^HTTP\/1.1 503 /);
    assert.match(answer, /retry-after: 0\.\d+/i);
    assert.not.match(server.received(), /a2/);
    assert.is(edge.node.counters.read()['quota.rejected.quota-unavailable'], 1);
    const refused = edge.node.router.stories
      .all()
      .flatMap(({ steps }) => steps.filter(({ what }) => what === 'refuse'));
    assert.ok(JSON.stringify(refused).includes('"tenant":"archive","cost":200'));
  } finally {
    edge.close();
    server.close();
  }
});

test.run();
