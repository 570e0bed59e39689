import { randomBytes } from 'node:crypto';
import { createConnection, type Socket } from 'node:net';
import { randomBelow, type RandomSource } from '../../../src/common/random.js';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../../src/common/micros.js';
import { addressParts } from '../../../src/spread/link/address-parts.js';
import { openAnswerReader, type ReadAnswer } from '../stand-in/answer-reader.js';
import { standInTenant } from '../stand-in/documents.js';
import type { Seen } from '../stand-in/seen.js';
import { places } from './soak-document.js';

/** A request that was sent behind others on a connection, and how that ended. */
export type PipelinedRequest = {
  readonly attempt: string;
  readonly node: string;
  readonly sentUs: Micros;
  readonly endUs: Micros;
  readonly status: number;
};

export type PipelinedClients = {
  readonly requests: readonly PipelinedRequest[];
  readonly start: () => void;
  /** Ends once what is under way is answered. */
  readonly stop: () => Promise<void>;
};

type Sent = { readonly attempt: string; readonly body: string; readonly sentUs: Micros };

const clientCount = 4;
const mostTogether = 4;
const betweenUs: Micros = 60_000;
const reconnectUs: Micros = 200_000;
const answerUs: Micros = 8_000_000;
/** A connection that ends so shortly before the client's time may have been ended by the client. */
const lateUs: Micros = 500_000;
const largeBodyBytes = 300_000;
const largePercent = 6;
const slowPercent = 8;
const slowPieces = 6;
const slowPieceUs: Micros = 80_000;

const connected = (node: string): Promise<Socket | undefined> =>
  new Promise((resolve) => {
    const { host, port } = addressParts(node);
    const socket = createConnection({ host, port, noDelay: true });
    socket.once('connect', () => resolve(socket));
    socket.on('error', () => resolve(undefined));
  });

const bytesOf = ({ attempt, body }: Sent): Buffer =>
  Buffer.from(
    [
      `POST ${places.idem.prefix}${attempt} HTTP/1.1`,
      `Host: ${places.idem.host}`,
      `Ledgehill-Attempt-Id: ${attempt}`,
      `Ledgehill-Budget-Ms: ${answerUs / 1_000}`,
      'X-Client: kept',
      `Authorization: Bearer ${standInTenant.keys[0]}`,
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n'),
    'latin1',
  );

/**
 * Clients that send several requests, some with large or slow bodies, before they read an answer, and use a connection until
 * it ends, whatever its node says of itself.
 */
export const openPipelinedClients = (
  seen: Seen,
  chance: RandomSource,
  pick: () => string | undefined,
): PipelinedClients => {
  const requests: PipelinedRequest[] = [];
  const running: Promise<void>[] = [];
  let isOver = false;

  const drawn = (): Sent => {
    const attempt = randomBytes(8).toString('hex');
    const size = randomBelow(chance, 100) < largePercent ? largeBodyBytes : 100;
    return { attempt, body: `${attempt} `.repeat(Math.ceil(size / (attempt.length + 1))), sentUs: monotonicNow() };
  };

  const note = ({ attempt, body, sentUs }: Sent, node: string, answer: ReadAnswer | undefined): void => {
    const endUs = monotonicNow();
    const status = answer?.status ?? 0;
    requests.push({ attempt, node, sentUs, endUs, status });
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
      endUs,
      status,
      seal: answer?.seal,
      bytes: answer?.body ?? '',
      whole: answer !== undefined,
      error: answer === undefined ? 'the connection ended' : undefined,
      isCutOff: answer === undefined && endUs - sentUs < answerUs - lateUs,
    });
  };

  const write = async (socket: Socket, bytes: Buffer): Promise<void> => {
    if (randomBelow(chance, 100) >= slowPercent) {
      socket.write(bytes);
      return;
    }
    const pieceBytes = Math.ceil(bytes.length / slowPieces);
    for (let place = 0; place < bytes.length && !socket.destroyed; place += pieceBytes) {
      socket.write(bytes.subarray(place, place + pieceBytes));
      await delay(monotonicClock, slowPieceUs);
    }
  };

  /** Sends some requests together, and waits for their answers or the end of the connection. */
  const sendTogether = async (socket: Socket, node: string): Promise<void> => {
    const sent = Array.from({ length: 1 + randomBelow(chance, mostTogether) }, drawn);
    const read = openAnswerReader();
    let answered = 0;
    const whole = new Promise<void>((resolve) => {
      socket.on('data', (bytes: Buffer) => {
        for (const answer of read(bytes.toString('latin1'))) {
          const request = sent[answered];
          answered += 1;
          if (request !== undefined) note(request, node, answer);
        }
        if (answered >= sent.length) resolve();
      });
      socket.once('close', () => resolve());
    });
    await write(socket, Buffer.concat(sent.map(bytesOf)));
    const takeBack = monotonicClock.after(answerUs, () => socket.destroy());
    await whole;
    takeBack();
    socket.removeAllListeners('data');
    socket.removeAllListeners('close');
    for (const request of sent.slice(answered)) note(request, node, undefined);
  };

  const run = async (): Promise<void> => {
    while (!isOver) {
      const node = pick();
      const socket = node === undefined ? undefined : await connected(node);
      while (node !== undefined && socket !== undefined && !socket.destroyed && !isOver) {
        await sendTogether(socket, node);
        await delay(monotonicClock, betweenUs);
      }
      socket?.destroy();
      await delay(monotonicClock, reconnectUs);
    }
  };

  return {
    requests,
    start: () => {
      for (let client = 0; client < clientCount; client += 1) running.push(run());
    },
    stop: async () => {
      isOver = true;
      await Promise.all(running);
    },
  };
};
