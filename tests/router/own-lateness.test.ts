import { createConnection, createServer } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { dialServer } from '../../platform/server/dial.js';
import { steadyClock } from '../../src/common/clock/steady-clock.js';
import { within } from '../../src/common/clock/within.js';
import { steadyNow, type Micros } from '../../src/common/micros.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';

const stallUs: Micros = 900_000;

/**
 * Begins something and keeps the process from reading anything for a while, as a machine with too little processor time
 * does. It happens at the end of a turn of the event loop, so that the timers that fall due meanwhile are looked at before
 * the sockets.
 */
const begunBeforeStall = <T>(begin: () => T): Promise<{ readonly begun: T }> =>
  new Promise((resolve) => {
    setImmediate(() => {
      const begun = begin();
      const dueUs = steadyNow() + stallUs;
      while (steadyNow() < dueUs);
      resolve({ begun });
    });
  });

const listedAt = (address: string): ListedServer => ({
  id: 's1',
  incarnation: 'i1',
  service: 'model',
  address,
  locality: 'a',
  listedAtUs: 0,
  state: 'up',
});

const withListener = async (use: (port: number) => Promise<void>): Promise<void> => {
  const [port = 0] = await freePorts(1);
  const server = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  await use(port).finally(() => server.close());
};

test('a connection that came up while the process stood still is not taken for one that did not come up', () =>
  withListener(async (port) => {
    const { begun } = await begunBeforeStall(() => dialServer(listedAt(`127.0.0.1:${port}`)));
    const opened = await begun;
    assert.ok(opened.isRight(), 'the server is there');
    opened.ifRight((link) => link.close());
  }));

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
