import { Left } from 'purify-ts';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setupOfDocument } from '../../platform/operator/setup-of-document.js';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { typedError } from '../../src/common/typed-error.js';
import type { CoreClient } from '../../src/process/core-client.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { retryLimits } from './documents.js';
import { coreWith, edgeDocument, openEdge, type Edge } from './raw/open-edge.js';
import { post } from './raw/with-edge.js';

const [firstRoute, ...laterRoutes] = edgeDocument.routes;

/** What was in force before: it lacks the first route. */
const formerRecord = (): SetupRecord => {
  const { setup } = setupOfDocument({ ...edgeDocument, routes: laterRoutes }, retryLimits).unsafeCoerce();
  return { revision: 1, takenAtUs: 0, setup, epochs: [{ sinceUs: 0, warmup: setup.warmup }] };
};

/** A core that is out of reach until it is let speak. */
const openSilentCore = () => {
  const speaking = coreWith(edgeDocument);
  let isReached = false;
  const core: CoreClient = {
    ask: (request, budgetUs) =>
      isReached ? speaking.ask(request, budgetUs) : Promise.resolve(Left(typedError('unreachable', 'no leader'))),
  };
  return {
    core,
    reach: () => {
      isReached = true;
    },
  };
};

const statusOf = async (edge: Edge, target: string): Promise<string> => {
  const client = await edge.connect();
  client.socket.write(post(target));
  return client.until('\r\n\r\n');
};

test('a node that has no configuration, or one that the core has not confirmed, never says 404', async () => {
  const { core, reach } = openSilentCore();
  const edge = await openEdge(core, false);
  try {
    edge.show([]);
    const promise = /^HTTP\/1.1 503 [^]*retry-after: \d/i;
    assert.match(await statusOf(edge, `${firstRoute?.prefix ?? ''}x`), promise);
    edge.node.spread.offerSetup(formerRecord());
    assert.match(await statusOf(edge, `${firstRoute?.prefix ?? ''}x`), promise);
    assert.match(await statusOf(edge, '/never/x'), promise);
    reach();
    for (let look = 0; look < 400 && edge.node.unreadyReason() === 'no setup is confirmed by the core yet'; look += 1)
      await delay(monotonicClock, 10_000);
    assert.match(await statusOf(edge, '/never/x'), /^HTTP\/1.1 404 /);
  } finally {
    edge.close();
  }
});

test.run();
