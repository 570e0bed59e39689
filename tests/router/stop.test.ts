import { request } from 'undici';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { monotonicNow, type Micros } from '../../src/common/micros.js';
import type { CoreClient } from '../../src/process/core-client.js';
import { openRouterNode } from '../../src/process/router/router-node.js';
import { serveRouter } from '../../src/process/router/serve-router.js';
import { realSurroundings } from '../../src/process/surroundings/real-surroundings.js';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import { inMemoryCore, listedAt } from './loopback.js';

const graceUs: Micros = 1_600_000;

/** A core that reads, and never answers a claim. */
const coreWithoutClaims = (): CoreClient => {
  const core = inMemoryCore();
  return {
    ask: (asked, budgetUs) => (asked.type === 'read' ? core.ask(asked, budgetUs) : new Promise(() => undefined)),
  };
};

// Guards against: a router that stops while a request waits for its claim ends the connection without an answer (LOST).
test('a request that waits for the claim of its key when its router stops is refused', async () => {
  const [port = 0, partnerPort = 0, serverPort = 0] = await freePorts(3);
  const http = `127.0.0.1:${port}`;
  const partners = `127.0.0.1:${partnerPort}`;
  const node = openRouterNode({
    settings: { node: 'r1', locality: 'a', http, partners, seeds: [partners], terminationGraceUs: graceUs },
    log: { change: () => undefined },
    surroundings: realSurroundings,
    openCore: coreWithoutClaims,
  });
  const server = serveRouter(node, http);
  await server.listen();
  await node.start();
  node.spread.offerList({ version: 1, atUs: monotonicNow(), servers: [listedAt('m0', 'model', serverPort)] });
  while (node.router.view().record === undefined) await delay(monotonicClock, 5_000);
  const asked = request(`http://${http}/exchanges`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'idempotency-key': 'k1' },
    body: JSON.stringify({ kind: 'summary', opening: 'p', text: 't' }),
  });
  await delay(monotonicClock, 100_000);
  const signalUs = monotonicNow();
  const stopped = node.stop(server.callers);
  const response = await asked;
  assert.is(response.statusCode, 503);
  assert.match(await response.body.text(), 'draining');
  await stopped;
  assert.ok(monotonicNow() - signalUs < graceUs);
  await server.close();
});

test.run();
