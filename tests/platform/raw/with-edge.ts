import type { Socket } from 'node:net';
import * as assert from 'uvu/assert';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { listedAt } from '../../router/loopback.js';
import { openEdge, type Edge } from './open-edge.js';
import { openRawServer, type RawServer } from './raw-server.js';

export type Serve = (socket: Socket, request: string, place: number) => void;

export const idIn = (request: string): string => /ledgehill-attempt-id: (\S+)/i.exec(request)?.[1] ?? '';

export const answerTo = (request: string, body: string, more: readonly string[] = [], status = '200 OK'): string =>
  [
    `HTTP/1.1 ${status}`,
    `Ledgehill-Attempt-Id: ${idIn(request)}`,
    'Ledgehill-Server-Seal: s.1',
    ...more,
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');

export const streamHead = (request: string): string =>
  [
    'HTTP/1.1 200 OK',
    `Ledgehill-Attempt-Id: ${idIn(request)}`,
    'Ledgehill-Server-Seal: s.1',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    '',
    '',
  ].join('\r\n');

export const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
export const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

export const post = (target: string, body = '', more: readonly string[] = [], id = 'a1'): string =>
  [
    `POST ${target} HTTP/1.1`,
    'Host: a.example',
    `Ledgehill-Attempt-Id: ${id}`,
    'Ledgehill-Budget-Ms: 3000',
    ...more,
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');

export const withEdge = async (
  serve: Serve,
  use: (edge: Edge, server: RawServer, second: RawServer) => Promise<void>,
  count = 1,
): Promise<void> => {
  const servers = [await openRawServer(serve), await openRawServer(serve)] as const;
  const edge = await openEdge();
  edge.show(servers.slice(0, count).map(({ address }, place) => ({ ...listedAt(`i-${place}`, 'web', 1), address })));
  try {
    await use(edge, ...servers);
  } finally {
    edge.close();
    for (const server of servers) server.close();
  }
};

export const seen = async (isSo: () => boolean): Promise<void> => {
  for (let look = 0; look < 1_000 && !isSo(); look += 1) await delay(monotonicClock, 3_000);
  assert.ok(isSo(), 'it was not seen in time');
};
