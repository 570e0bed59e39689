import { Left, Right } from 'purify-ts';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../../src/common/clock/clock.js';
import { typedError } from '../../src/common/typed-error.js';
import type { Dial } from '../../src/servers/link/dial.js';
import type { ServerLink } from '../../src/servers/link/server-link.js';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import {
  minRedialDelayUs,
  maxRedialDelayUs,
  openPassiveHealthCheck,
} from '../../src/servers/watch/passive-health-check.js';
import { serverOf } from '../decision/fixtures.js';

const server = serverOf('m1', 0);
const key = serverKeyOf(server);

const createLink = (): ServerLink => ({
  key,
  isOpen: () => true,
  close: () => undefined,
  probe: () => Promise.resolve(true),
  deliver: () => Promise.reject(new Error('not used in this test')),
});

/** Passive health checks of one server on a manual clock; dials succeed unless the server was taken down. */
const createHarness = () => {
  let nowUs = 0;
  let isUp = true;
  let dials = 0;
  let kept = 0;
  const notifications: boolean[] = [];
  const waiting = new Set<{ readonly atUs: number; readonly act: () => void }>();
  const clock: Clock = {
    now: () => nowUs,
    after: (span, act) => {
      const entry = { atUs: nowUs + span, act };
      waiting.add(entry);
      return () => void waiting.delete(entry);
    },
  };
  const dial: Dial = () => {
    dials += 1;
    return Promise.resolve(isUp ? Right(createLink()) : Left(typedError('link-error', 'the test server is down')));
  };
  const healthCheck = openPassiveHealthCheck(
    dial,
    clock,
    (_key, isReachable) => void notifications.push(isReachable),
    () => {
      kept += 1;
    },
  );
  healthCheck.setServers([server]);
  const flushMicrotasks = async (): Promise<void> => {
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  };
  return {
    healthCheck,
    notifications,
    dials: () => dials,
    kept: () => kept,
    waiting: () => waiting.size,
    takeDown: () => {
      isUp = false;
    },
    bringUp: () => {
      isUp = true;
    },
    flushMicrotasks,
    advance: async (spanUs: number): Promise<void> => {
      nowUs += spanUs;
      for (const entry of [...waiting]) {
        if (entry.atUs > nowUs) continue;
        waiting.delete(entry);
        entry.act();
      }
      await flushMicrotasks();
    },
  };
};

test('a server without failures is never dialed', async () => {
  const harness = createHarness();
  await harness.advance(60_000_000);
  assert.is(harness.dials(), 0);
});

test('a server that cannot be dialed is unreachable at once, is redialed with backoff, and is reachable after a successful dial', async () => {
  const harness = createHarness();
  harness.takeDown();
  harness.healthCheck.reportDialFailure(key);
  assert.equal(harness.notifications, [false]);
  await harness.advance(minRedialDelayUs);
  await harness.advance(minRedialDelayUs);
  assert.is(harness.dials(), 1, 'the second delay is longer');
  await harness.advance(minRedialDelayUs);
  assert.is(harness.dials(), 2);
  harness.bringUp();
  await harness.advance(maxRedialDelayUs);
  assert.equal(harness.notifications, [false, true]);
  assert.is(harness.kept(), 1, 'the link of the successful dial is kept for exchanges');
  await harness.advance(60_000_000);
  assert.is(harness.dials(), 3);
});

test('a failed exchange triggers one dial, and a server that accepts it stays reachable', async () => {
  const harness = createHarness();
  harness.healthCheck.suspect(key);
  harness.healthCheck.suspect(key);
  await harness.flushMicrotasks();
  assert.is(harness.dials(), 1);
  assert.equal(harness.notifications, []);
  harness.takeDown();
  harness.healthCheck.suspect(key);
  await harness.flushMicrotasks();
  assert.equal(harness.notifications, [false]);
});

test('a server that is removed from the list is not redialed', async () => {
  const harness = createHarness();
  harness.takeDown();
  harness.healthCheck.reportDialFailure(key);
  harness.healthCheck.setServers([]);
  assert.is(harness.waiting(), 0);
  await harness.advance(60_000_000);
  assert.is(harness.dials(), 0);
});

test.run();
