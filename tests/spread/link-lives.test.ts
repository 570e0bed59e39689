import { createConnection, createServer, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { raceTimeout } from '../../src/common/clock/race-timeout.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import type { Frame } from '../../src/spread/frame/frame.js';
import type { LinkIdentity } from '../../src/spread/link/link-identity.js';
import type { PeerLinks } from '../../src/spread/link/peer-links.js';
import { openTcpLinks } from '../../src/spread/link/tcp-links.js';
import {
  frameBytesOf,
  greetingBytes,
  greetingOf,
  introductionOf,
  instanceIdInGreeting,
  instancePairOf,
} from '../../src/spread/link/wire-format.js';

const timeoutUs = 5_000_000;
const firstInstance = 'aaaaaaaaaaaa';
const secondInstance = 'bbbbbbbbbbbb';
const senderAddress = '127.0.0.1:9';

const workOf = (tokens: number): Frame => ({ type: 'work', server: 's', service: 'm', tokens });

const withTimeout = async <T>(work: Promise<T>): Promise<T> => {
  const done = await raceTimeout(monotonicClock, work, timeoutUs);
  if (done === undefined) throw new Error('the expected event did not occur in time');
  return done;
};

/** Records the events of links, as a short text each. */
const recordEvents = (links: PeerLinks) => {
  const events: string[] = [];
  const waiting: (() => void)[] = [];
  const note = (event: string): void => {
    events.push(event);
    waiting.splice(0).forEach((act) => act());
  };
  links.events.on('frame', (_from, frame) => note(frame.type === 'work' ? `work ${frame.tokens}` : frame.type));
  links.events.on('dropped', (cause) => note(cause));
  links.events.on('badFrame', () => note('bad'));
  const until = async (count: number): Promise<readonly string[]> => {
    while (events.length < count)
      await withTimeout(new Promise<boolean>((resolve) => waiting.push(() => resolve(true))));
    return events;
  };
  return { events, until };
};

/** Connects to the links and reads their greeting; the test writes the rest. */
const connectRaw = (port: number): Promise<{ readonly socket: Socket; readonly life: string }> =>
  withTimeout(
    new Promise((resolve, reject) => {
      const socket = createConnection({ host: '127.0.0.1', port, noDelay: true });
      socket.once('error', reject);
      socket.once('data', (greeting: Buffer) => {
        assert.is(greeting.length, greetingBytes);
        resolve({ socket, life: instanceIdInGreeting(greeting) ?? '' });
      });
    }),
  );

const waitForClose = (socket: Socket): Promise<boolean> =>
  withTimeout(
    new Promise((resolve) => {
      if (socket.destroyed) resolve(true);
      else socket.once('close', () => resolve(true));
    }),
  );

const frameFrom = (senderInstanceId: string, receiverInstanceId: string, frame: Frame): Uint8Array =>
  Buffer.concat([instancePairOf(senderInstanceId, receiverInstanceId), frameBytesOf(frame)]);

const identityOf = (life: string, fleet = 'ledgehill'): LinkIdentity => ({ address: senderAddress, life, fleet });

const withLinks = async (use: (links: PeerLinks, port: number) => Promise<void>): Promise<void> => {
  const [port = 0] = await freePorts(1);
  const links = openTcpLinks(`127.0.0.1:${port}`);
  try {
    await links.listen();
    await use(links, port);
  } finally {
    links.close();
  }
};

test('frames of an earlier instance that are read after those of the restarted process are dropped', () =>
  withLinks(async (links, port) => {
    const recorded = recordEvents(links);
    const earlier = await connectRaw(port);
    earlier.socket.write(introductionOf(identityOf(firstInstance)));
    earlier.socket.write(frameFrom(firstInstance, earlier.life, workOf(1)));
    await recorded.until(1);
    const restarted = await connectRaw(port);
    restarted.socket.write(introductionOf(identityOf(secondInstance)));
    restarted.socket.write(frameFrom(secondInstance, restarted.life, workOf(2)));
    await recorded.until(2);
    earlier.socket.write(frameFrom(firstInstance, earlier.life, workOf(1)));
    assert.equal(await recorded.until(3), ['work 1', 'work 2', 'other-life']);
    await waitForClose(earlier.socket);
    restarted.socket.write(frameFrom(secondInstance, restarted.life, workOf(3)));
    assert.equal(await recorded.until(4), ['work 1', 'work 2', 'other-life', 'work 3']);
    restarted.socket.destroy();
  }));

test('an earlier instance whose first bytes are read after those of the restarted process is recognized as the earlier one', () =>
  withLinks(async (links, port) => {
    const recorded = recordEvents(links);
    const earlier = await connectRaw(port);
    const restarted = await connectRaw(port);
    restarted.socket.write(introductionOf(identityOf(secondInstance)));
    restarted.socket.write(frameFrom(secondInstance, restarted.life, workOf(2)));
    await recorded.until(1);
    earlier.socket.write(introductionOf(identityOf(firstInstance)));
    earlier.socket.write(frameFrom(firstInstance, earlier.life, workOf(1)));
    assert.equal(await recorded.until(2), ['work 2', 'other-life']);
    restarted.socket.destroy();
  }));

test('a frame to another instance of the receiver is dropped, and its connection is closed', () =>
  withLinks(async (links, port) => {
    const recorded = recordEvents(links);
    const { socket } = await connectRaw(port);
    socket.write(introductionOf(identityOf(firstInstance)));
    socket.write(frameFrom(firstInstance, secondInstance, workOf(1)));
    assert.equal(await recorded.until(1), ['other-life']);
    await waitForClose(socket);
  }));

test('frames of another fleet are dropped', () =>
  withLinks(async (links, port) => {
    const recorded = recordEvents(links);
    const [foreignPort = 0] = await freePorts(1);
    const foreign = openTcpLinks(`127.0.0.1:${foreignPort}`, { fleet: 'elsewhere' });
    foreign.send(`127.0.0.1:${port}`, workOf(1));
    assert.equal(await recorded.until(1), ['other-fleet']);
    foreign.close();
  }));

test('a frame with another instance ID than its introduction, or malformed bytes, counts as bad and closes the connection', () =>
  withLinks(async (links, port) => {
    const recorded = recordEvents(links);
    const forger = await connectRaw(port);
    forger.socket.write(introductionOf(identityOf(firstInstance)));
    forger.socket.write(frameFrom(secondInstance, forger.life, workOf(1)));
    assert.equal(await recorded.until(1), ['bad']);
    await waitForClose(forger.socket);
    for (const bytes of [
      Buffer.from([1, 0, 0, 0, 0]),
      Buffer.from([255, 255, 255, 127, 0]),
      frameBytesOf(workOf(1)),
      introductionOf({ ...identityOf(firstInstance), life: 'not a life' }),
      Buffer.from([8, 0, 0, 0, 99, 99, 99, 0]),
    ]) {
      const before = recorded.events.length;
      const { socket } = await connectRaw(port);
      socket.write(bytes);
      assert.is((await recorded.until(before + 1))[before], 'bad');
      await waitForClose(socket);
    }
  }));

test('a frame that arrives byte by byte is parsed as one frame', () =>
  withLinks(async (links, port) => {
    const recorded = recordEvents(links);
    const { socket, life } = await connectRaw(port);
    const bytes = Buffer.concat([
      introductionOf(identityOf(firstInstance)),
      frameFrom(firstInstance, life, workOf(1)),
      frameFrom(firstInstance, life, workOf(2)),
    ]);
    for (const byte of bytes) {
      socket.write(Uint8Array.of(byte));
      await new Promise(setImmediate);
    }
    assert.equal(await recorded.until(2), ['work 1', 'work 2']);
    socket.destroy();
  }));

test('a sender writes nothing before the greeting, then both instance IDs before each frame', async () => {
  const [port = 0, ownPort = 0] = await freePorts(2);
  const accepted = new Promise<Socket>((resolve) => {
    const server = createServer((socket) => {
      server.close();
      resolve(socket);
    });
    server.listen(port, '127.0.0.1');
  });
  const links = openTcpLinks(`127.0.0.1:${ownPort}`);
  try {
    links.send(`127.0.0.1:${port}`, workOf(1));
    links.send(`127.0.0.1:${port}`, workOf(2));
    const socket = await withTimeout(accepted);
    let received = Buffer.alloc(0);
    let hasGreeted = false;
    const receivedAll = new Promise<boolean>((resolve) => {
      socket.on('data', (chunk: Buffer) => {
        assert.ok(hasGreeted, 'the sender wrote bytes before the greeting');
        received = Buffer.concat([received, chunk]);
        if (received.includes(Buffer.from(frameBytesOf(workOf(2))))) resolve(true);
      });
    });
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
    hasGreeted = true;
    socket.write(greetingOf(secondInstance));
    await withTimeout(receivedAll);
    assert.is(
      received.toString('hex').split(secondInstance).length,
      3,
      'each of the two frames carries the instance ID of its receiver',
    );
    socket.destroy();
  } finally {
    links.close();
  }
});

test('a receiver that writes something else than a greeting counts as bad', async () => {
  const [port = 0, ownPort = 0] = await freePorts(2);
  const server = createServer((socket) => socket.write('HTTP/1.1 400 Bad Request\r\n\r\n'));
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  const links = openTcpLinks(`127.0.0.1:${ownPort}`);
  try {
    const recorded = recordEvents(links);
    links.send(`127.0.0.1:${port}`, workOf(1));
    assert.equal(await recorded.until(1), ['bad']);
  } finally {
    links.close();
    server.close();
  }
});

test.run();
