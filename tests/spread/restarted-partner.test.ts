import { createConnection } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { raceTimeout } from '../../src/common/clock/race-timeout.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import type { Frame } from '../../src/spread/frame/frame.js';
import type { PeerLinks } from '../../src/spread/link/peer-links.js';
import { openTcpLinks } from '../../src/spread/link/tcp-links.js';

const request: Frame = { type: 'request', requestId: 'a1', request: { type: 'read' } };
const reply: Frame = { type: 'reply', requestId: 'a1', reply: { type: 'not-leader', leader: undefined } };
const timeoutUs = 5_000_000;

/** Resolves when a dial to the port has been refused. */
const waitForRefusal = (port: number): Promise<void> =>
  new Promise((resolve) => {
    const socket = createConnection({ host: '127.0.0.1', port });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => resolve());
  });

const nextFrame = ({ events }: PeerLinks): Promise<Frame | undefined> =>
  raceTimeout(
    monotonicClock,
    new Promise<Frame>((resolve) => events.once('frame', (_from, frame) => resolve(frame))),
    timeoutUs,
  );

test('a peer that has just restarted receives the reply to its first request without waiting for the redial delay', async () => {
  const [corePort = 0, routerPort = 0] = await freePorts(2);
  const core = openTcpLinks(`127.0.0.1:${corePort}`);
  const router = openTcpLinks(`127.0.0.1:${routerPort}`);
  try {
    await core.listen();
    core.events.on('frame', (from) => core.send(from, reply));
    core.send(`127.0.0.1:${routerPort}`, reply);
    await waitForRefusal(routerPort);
    await router.listen();
    const received = nextFrame(router);
    router.send(`127.0.0.1:${corePort}`, request);
    assert.equal((await received)?.type, 'reply');
  } finally {
    core.close();
    router.close();
  }
});

test.run();
