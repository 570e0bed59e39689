import { randomBytes } from 'node:crypto';
import { createConnection } from 'node:net';
import { randomItem, randomBelow, type RandomSource } from '../../../src/common/random.js';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../../src/common/micros.js';
import { addressParts } from '../../../src/spread/link/address-parts.js';
import { openAnswerReader } from '../stand-in/answer-reader.js';
import { standInTenant } from '../stand-in/documents.js';
import { answerFramings, largeAnswerText } from '../stand-in/large-answer.js';
import type { Seen } from '../stand-in/seen.js';
import { places } from './soak-document.js';

/** Clients that read large answers slowly, or leave in the middle of them. */
export type SlowReaders = {
  readonly start: () => void;
  /** Ends once what is under way has ended. */
  readonly stop: () => Promise<void>;
};

type Call = {
  readonly attempt: string;
  readonly body: string;
  readonly node: string;
  /** For how long nothing is read. */
  readonly waitUs: Micros;
  /** Whether the client leaves then, and reads nothing at all. */
  readonly leaves: boolean;
};

const clientCount = 6;
const leastBytes = 1_000;
const mostBytes = 5_000_000;
const mostWaitMs = 1_200;
const leavePercent = 15;
const betweenUs: Micros = 100_000;
const answerUs: Micros = 6_000_000;

const headOf = ({ attempt, body }: Call): string =>
  [
    `POST ${places.idem.prefix}${attempt} HTTP/1.1`,
    `Host: ${places.idem.host}`,
    `Ledgehill-Attempt-Id: ${attempt}`,
    `Ledgehill-Budget-Ms: ${answerUs / 1_000}`,
    'X-Client: kept',
    `Authorization: Bearer ${standInTenant.keys[0]}`,
    'Connection: close',
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');

/** What came on a connection of its own, read late and to its end. */
const bytesOf = async (call: Call): Promise<string> => {
  const socket = createConnection(addressParts(call.node));
  const chunks: Buffer[] = [];
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
  socket.pause();
  socket.write(headOf(call));
  await delay(monotonicClock, call.waitUs);
  if (call.leaves) socket.destroy();
  else socket.resume();
  const takeBack = monotonicClock.after(answerUs, () => socket.destroy());
  await closed;
  takeBack();
  return Buffer.concat(chunks).toString('latin1');
};

/** Opens the clients; `pick` gives the node for a new connection. */
export const openSlowReaders = (seen: Seen, chance: RandomSource, pick: () => string | undefined): SlowReaders => {
  const running: Promise<void>[] = [];
  let isOver = false;

  const drawn = (node: string): Call => {
    const attempt = randomBytes(8).toString('hex');
    const framing = randomItem(chance, answerFramings) ?? 'length';
    const bytes = leastBytes + randomBelow(chance, mostBytes - leastBytes);
    return {
      attempt,
      body: largeAnswerText({ bytes, framing }, attempt),
      node,
      waitUs: randomBelow(chance, mostWaitMs) * 1_000,
      leaves: randomBelow(chance, 100) < leavePercent,
    };
  };

  const ask = async (call: Call): Promise<void> => {
    const { attempt, body, node } = call;
    const sentUs = monotonicNow();
    const [answer] = openAnswerReader()(await bytesOf(call));
    seen.tries.push({
      attempt,
      route: 'idem',
      kind: 'idem',
      node,
      method: 'POST',
      target: `${places.idem.prefix}${attempt}`,
      body,
      lastEventId: 0,
      events: 0,
      sentUs,
      endUs: monotonicNow(),
      status: answer?.status ?? 0,
      seal: answer?.seal,
      bytes: answer?.body ?? '',
      whole: answer !== undefined,
      error: answer === undefined ? 'no whole answer' : undefined,
    });
  };

  const run = async (): Promise<void> => {
    while (!isOver) {
      const node = pick();
      if (node !== undefined) await ask(drawn(node));
      await delay(monotonicClock, betweenUs);
    }
  };

  return {
    start: () => {
      for (let client = 0; client < clientCount; client += 1) running.push(run());
    },
    stop: async () => {
      isOver = true;
      await Promise.all(running);
    },
  };
};
