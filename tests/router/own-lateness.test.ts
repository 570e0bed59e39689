import { createConnection } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { steadyClock } from '../../src/common/clock/steady-clock.js';
import { within } from '../../src/common/clock/within.js';
import { begunBeforeStall, stallUs, withListener } from './stand-still.js';

test('a time-out that falls due while the process stood still gives way to what has come meanwhile', () =>
  withListener(async (port) => {
    const { begun } = await begunBeforeStall(() => {
      const socket = createConnection(port, '127.0.0.1');
      socket.on('error', () => undefined);
      const connected = new Promise<true>((resolve) => socket.once('connect', () => resolve(true)));
      return { socket, heard: within(steadyClock, connected, stallUs / 3) };
    });
    assert.is(await begun.heard, true);
    begun.socket.destroy();
  }));

test('a time-out still ends what does not come', async () => {
  assert.is(await within(steadyClock, new Promise<true>(() => undefined), 20_000), undefined);
});

test.run();
