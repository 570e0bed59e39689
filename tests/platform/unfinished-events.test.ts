import { createConnection } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { callEvery } from '../../src/common/clock/every.js';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import type { Micros } from '../../src/common/micros.js';
import { addressParts } from '../../src/spread/link/address-parts.js';
import { rawModelListed } from './raw/raw-listed.js';
import { openRawServer, type RawServer } from './raw/raw-server.js';
import { chunk, event, streamHead, type Serve } from './raw/with-edge.js';
import { openBundledFleet } from './stand-in/bundled-fleet.js';
import { places, standInTenant } from './stand-in/documents.js';

const streams = 60;
const unfinishedBytes = 6_000_000;
const serverCount = 4;
/** What the settings of the fleet allow a process. */
const mostMemoryBytes = 350 << 20;
const memoryLookUs: Micros = 10_000;
const answerUs: Micros = 20_000_000;
const tries = 40;
const tryPauseUs: Micros = 250_000;

const requestOf = (id: string): string =>
  [
    `POST ${places.stream.prefix}${id} HTTP/1.1`,
    `Host: ${places.stream.host}`,
    `Authorization: Bearer ${standInTenant.keys[0]}`,
    `Ledgehill-Attempt-Id: ${id}`,
    'Ledgehill-Budget-Ms: 12000',
    'Ledgehill-Token-Count: 100,21',
    'Ledgehill-Prompt-Prefix: aa:60,bb:40',
    'Connection: close',
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');

/** What came until the connection closed. */
const ask = (edge: string, id: string): Promise<string> =>
  new Promise((resolve) => {
    const socket = createConnection(addressParts(edge));
    let received = '';
    const stop = monotonicClock.after(answerUs, () => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
    });
    socket.once('close', () => {
      stop();
      resolve(received);
    });
    socket.write(requestOf(id));
  });

const isWhole = (answer: string): boolean => answer.startsWith('HTTP/1.1 200 ') && answer.endsWith('\r\n0\r\n\r\n');

const isServed = async (edge: string, name: string): Promise<boolean> => {
  for (let place = 0; place < tries; place += 1) {
    if (isWhole(await ask(edge, `sound-${name}-${place}`))) return true;
    await delay(monotonicClock, tryPauseUs);
  }
  return false;
};

const serve: Serve = (socket, request) => {
  socket.write(streamHead(request) + chunk(event(1)));
  if (request.includes('/sound-')) {
    socket.write('0\r\n\r\n');
    return;
  }
  const noEvent = chunk('0123456789abcdef'.repeat(4_096));
  let sentBytes = 0;
  const send = (): void => {
    while (!socket.destroyed && sentBytes < unfinishedBytes) {
      sentBytes += noEvent.length;
      if (socket.write(noEvent)) continue;
      socket.once('drain', send);
      return;
    }
  };
  send();
};

// Guards against: many events that do not end, each of a bearable size, take a router over its memory (Fault).
test('sixty streams whose servers end no event leave their router inside its memory, and it goes on', async () => {
  const servers: RawServer[] = [];
  const fleet = await openBundledFleet(async (addressOf) => {
    for (let place = 0; place < serverCount; place += 1) servers.push(await openRawServer(serve, await addressOf()));
    return servers.map(({ address }, place) => rawModelListed(`i-${place + 1}`, address, streams));
  });
  const { edge, launched } = fleet.router;
  let mostBytes = 0;
  const endLooks = callEvery(monotonicClock, memoryLookUs, () => {
    mostBytes = Math.max(mostBytes, launched.residentBytes());
  });
  try {
    assert.ok(await isServed(edge, 'first'), fleet.logs());
    const answers = await Promise.all(Array.from({ length: streams }, (_, place) => ask(edge, `endless-${place}`)));
    assert.not.ok(answers.some(isWhole), 'a stream whose event did not end looks whole');
    assert.not.ok(
      answers.some((answer) => answer.includes('0123456789')),
      'a part of an event was passed on',
    );
    assert.ok(launched.isRunning(), fleet.logs());
    assert.ok(mostBytes <= mostMemoryBytes, `${Math.round(mostBytes / (1 << 20))} MB were resident`);
    assert.ok(await isServed(edge, 'last'), fleet.logs());
  } finally {
    endLooks();
    await fleet.close();
    for (const server of servers) server.close();
  }
});

test.run();
