import { createConnection } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { raceTimeout } from '../../src/common/clock/race-timeout.js';
import { beginThenStall, stallUs, withListener } from './event-loop-stall.js';

test('a timeout that expires during a stall of the process yields to an event that arrived meanwhile', () =>
  withListener(async (port) => {
    const { begun } = await beginThenStall(() => {
      const socket = createConnection(port, '127.0.0.1');
      socket.on('error', () => undefined);
      const connected = new Promise<true>((resolve) => socket.once('connect', () => resolve(true)));
      return { socket, result: raceTimeout(monotonicClock, connected, stallUs / 3) };
    });
    assert.is(await begun.result, true);
    begun.socket.destroy();
  }));

test('a timeout without a stall still expires', async () => {
  assert.is(await raceTimeout(monotonicClock, new Promise<true>(() => undefined), 20_000), undefined);
});

test.run();
