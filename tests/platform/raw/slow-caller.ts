import { createConnection } from 'node:net';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import type { Micros } from '../../../src/common/micros.js';
import { addressParts } from '../../../src/spread/link/address-parts.js';
import { places, standInTenant } from '../stand-in/documents.js';

const answerWithinUs: Micros = 10_000_000;

const requestOf = (target: string, id: string): string =>
  [
    `POST ${places.idem.prefix}${target} HTTP/1.1`,
    `Host: ${places.idem.host}`,
    `Authorization: Bearer ${standInTenant.keys[0]}`,
    `Ledgehill-Attempt-Id: ${id}`,
    'Ledgehill-Budget-Ms: 9000',
    'Connection: close',
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');

/** Sends a request, reads nothing for a while, and then all that comes. */
export const askSlowly = async (edge: string, target: string, id: string, waitUs: Micros): Promise<string> => {
  const socket = createConnection(addressParts(edge));
  const chunks: Buffer[] = [];
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
  socket.pause();
  socket.write(requestOf(target, id));
  await delay(monotonicClock, waitUs);
  socket.resume();
  const stop = monotonicClock.after(answerWithinUs, () => socket.destroy());
  await closed;
  stop();
  return Buffer.concat(chunks).toString('latin1');
};

/** The body of an answer that is whole by its own framing. */
export const wholeBodyOf = (answer: string): string | undefined => {
  const headEnd = answer.indexOf('\r\n\r\n');
  const body = answer.slice(headEnd + 4);
  const length = /\r\ncontent-length: (\d+)/i.exec(answer.slice(0, headEnd))?.[1];
  if (length !== undefined) return body.length === Number(length) ? body : undefined;
  let text = '';
  for (let from = 0; from < body.length;) {
    const lineEnd = body.indexOf('\r\n', from);
    const size = Number.parseInt(body.slice(from, lineEnd), 16);
    if (size === 0) return body.slice(lineEnd) === '\r\n\r\n' ? text : undefined;
    text += body.slice(lineEnd + 2, lineEnd + 2 + size);
    from = lineEnd + 2 + size + 2;
  }
  return undefined;
};

const tries = 20;
const tryPauseUs: Micros = 250_000;

/** Whether a router answers a request with this body, in a few seconds at most. */
export const answersWith = async (edge: string, target: string, body: string): Promise<boolean> => {
  for (let place = 0; place < tries; place += 1) {
    if (wholeBodyOf(await askSlowly(edge, target, `${target}-${place}`, 0)) === body) return true;
    await delay(monotonicClock, tryPauseUs);
  }
  return false;
};
