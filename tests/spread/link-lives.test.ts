import { createConnection, createServer, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { steadyClock } from '../../src/common/clock/steady-clock.js';
import { within } from '../../src/common/clock/within.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';
import type { Frame } from '../../src/spread/frame/frame.js';
import type { LinkIdentity } from '../../src/spread/link/link-identity.js';
import type { PartnerLinks } from '../../src/spread/link/partner-links.js';
import { openTcpLinks } from '../../src/spread/link/tcp-links.js';
import {
  frameBytesOf,
  greetingBytes,
  greetingOf,
  introductionOf,
  lifeInGreeting,
  livesOf,
} from '../../src/spread/link/wire-format.js';

const longestUs = 5_000_000;
const firstLife = 'aaaaaaaaaaaa';
const secondLife = 'bbbbbbbbbbbb';
const senderAddress = '127.0.0.1:9';

const workOf = (tokens: number): Frame => ({ type: 'work', server: 's', service: 'm', tokens });

const bounded = async <T>(work: Promise<T>): Promise<T> => {
  const done = await within(steadyClock, work, longestUs);
  if (done === undefined) throw new Error('it did not come in time');
  return done;
};

/** What the links tell, one word after the other. */
const openHeard = (links: PartnerLinks) => {
  const words: string[] = [];
  const waiting: (() => void)[] = [];
  const note = (word: string): void => {
    words.push(word);
    waiting.splice(0).forEach((act) => act());
  };
  links.events.on('frame', (_from, frame) => note(frame.type === 'work' ? `work ${frame.tokens}` : frame.type));
  links.events.on('dropped', (cause) => note(cause));
  links.events.on('badFrame', () => note('bad'));
  const until = async (count: number): Promise<readonly string[]> => {
    while (words.length < count) await bounded(new Promise<boolean>((resolve) => waiting.push(() => resolve(true))));
    return words;
  };
  return { words, until };
};

/** A connection to the links that has read their greeting; the test writes the rest. */
const greeted = (port: number): Promise<{ readonly socket: Socket; readonly life: string }> =>
  bounded(
    new Promise((resolve, reject) => {
      const socket = createConnection({ host: '127.0.0.1', port, noDelay: true });
      socket.once('error', reject);
      socket.once('data', (greeting: Buffer) => {
        assert.is(greeting.length, greetingBytes);
        resolve({ socket, life: lifeInGreeting(greeting) ?? '' });
      });
    }),
  );

const closed = (socket: Socket): Promise<boolean> =>
  bounded(
    new Promise((resolve) => {
      if (socket.destroyed) resolve(true);
      else socket.once('close', () => resolve(true));
    }),
  );

const frameFrom = (senderLife: string, receiverLife: string, frame: Frame): Uint8Array =>
  Buffer.concat([livesOf(senderLife, receiverLife), frameBytesOf(frame)]);

const identityOf = (life: string, fleet = 'ledgehill'): LinkIdentity => ({ address: senderAddress, life, fleet });

const withLinks = async (use: (links: PartnerLinks, port: number) => Promise<void>): Promise<void> => {
  const [port = 0] = await freePorts(1);
  const links = openTcpLinks(`127.0.0.1:${port}`);
  try {
    await links.listen();
    await use(links, port);
  } finally {
    links.close();
  }
};

test('frames of a former life that are read after those of the restarted process are dropped', () =>
  withLinks(async (links, port) => {
    const heard = openHeard(links);
    const former = await greeted(port);
    former.socket.write(introductionOf(identityOf(firstLife)));
    former.socket.write(frameFrom(firstLife, former.life, workOf(1)));
    await heard.until(1);
    const restarted = await greeted(port);
    restarted.socket.write(introductionOf(identityOf(secondLife)));
    restarted.socket.write(frameFrom(secondLife, restarted.life, workOf(2)));
    await heard.until(2);
    former.socket.write(frameFrom(firstLife, former.life, workOf(1)));
    assert.equal(await heard.until(3), ['work 1', 'work 2', 'other-life']);
    await closed(former.socket);
    restarted.socket.write(frameFrom(secondLife, restarted.life, workOf(3)));
    assert.equal(await heard.until(4), ['work 1', 'work 2', 'other-life', 'work 3']);
    restarted.socket.destroy();
  }));

test('a former life whose first bytes are read after those of the restarted process is known as the former one', () =>
  withLinks(async (links, port) => {
    const heard = openHeard(links);
    const former = await greeted(port);
    const restarted = await greeted(port);
    restarted.socket.write(introductionOf(identityOf(secondLife)));
    restarted.socket.write(frameFrom(secondLife, restarted.life, workOf(2)));
    await heard.until(1);
    former.socket.write(introductionOf(identityOf(firstLife)));
    former.socket.write(frameFrom(firstLife, former.life, workOf(1)));
    assert.equal(await heard.until(2), ['work 2', 'other-life']);
    restarted.socket.destroy();
  }));

test('a frame for another life of the receiver is dropped, and its connection ends', () =>
  withLinks(async (links, port) => {
    const heard = openHeard(links);
    const { socket } = await greeted(port);
    socket.write(introductionOf(identityOf(firstLife)));
    socket.write(frameFrom(firstLife, secondLife, workOf(1)));
    assert.equal(await heard.until(1), ['other-life']);
    await closed(socket);
  }));

test('a process of another fleet is not listened to', () =>
  withLinks(async (links, port) => {
    const heard = openHeard(links);
    const [foreignPort = 0] = await freePorts(1);
    const foreign = openTcpLinks(`127.0.0.1:${foreignPort}`, { fleet: 'elsewhere' });
    foreign.send(`127.0.0.1:${port}`, workOf(1));
    assert.equal(await heard.until(1), ['other-fleet']);
    foreign.close();
  }));

test('a frame that bears another life than its introduction, and bytes of no form, are bad and end the connection', () =>
  withLinks(async (links, port) => {
    const heard = openHeard(links);
    const liar = await greeted(port);
    liar.socket.write(introductionOf(identityOf(firstLife)));
    liar.socket.write(frameFrom(secondLife, liar.life, workOf(1)));
    assert.equal(await heard.until(1), ['bad']);
    await closed(liar.socket);
    for (const bytes of [
      Buffer.from([1, 0, 0, 0, 0]),
      Buffer.from([255, 255, 255, 127, 0]),
      frameBytesOf(workOf(1)),
      introductionOf({ ...identityOf(firstLife), life: 'not a life' }),
      Buffer.from([8, 0, 0, 0, 99, 99, 99, 0]),
    ]) {
      const before = heard.words.length;
      const { socket } = await greeted(port);
      socket.write(bytes);
      assert.is((await heard.until(before + 1))[before], 'bad');
      await closed(socket);
    }
  }));

test('a frame cut at every byte is one frame', () =>
  withLinks(async (links, port) => {
    const heard = openHeard(links);
    const { socket, life } = await greeted(port);
    const bytes = Buffer.concat([
      introductionOf(identityOf(firstLife)),
      frameFrom(firstLife, life, workOf(1)),
      frameFrom(firstLife, life, workOf(2)),
    ]);
    for (const byte of bytes) {
      socket.write(Uint8Array.of(byte));
      await new Promise(setImmediate);
    }
    assert.equal(await heard.until(2), ['work 1', 'work 2']);
    socket.destroy();
  }));

test('a sender writes nothing before it knows the life of the receiver, and then both lives with each frame', async () => {
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
    const socket = await bounded(accepted);
    let received = Buffer.alloc(0);
    let isGreeted = false;
    const whole = new Promise<boolean>((resolve) => {
      socket.on('data', (chunk: Buffer) => {
        assert.ok(isGreeted, 'bytes came before the greeting');
        received = Buffer.concat([received, chunk]);
        if (received.includes(Buffer.from(frameBytesOf(workOf(2))))) resolve(true);
      });
    });
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
    isGreeted = true;
    socket.write(greetingOf(secondLife));
    await bounded(whole);
    assert.is(received.toString('hex').split(secondLife).length, 3, 'each frame bears the life of its receiver');
    socket.destroy();
  } finally {
    links.close();
  }
});

test('a receiver that answers with no greeting is not spoken to', async () => {
  const [port = 0, ownPort = 0] = await freePorts(2);
  const server = createServer((socket) => socket.write('HTTP/1.1 400 Bad Request\r\n\r\n'));
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  const links = openTcpLinks(`127.0.0.1:${ownPort}`);
  try {
    const heard = openHeard(links);
    links.send(`127.0.0.1:${port}`, workOf(1));
    assert.equal(await heard.until(1), ['bad']);
  } finally {
    links.close();
    server.close();
  }
});

test.run();
