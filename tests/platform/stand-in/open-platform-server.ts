import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { parsePromptPrefix } from '../../../platform/client/parse-prompt-prefix.js';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../../src/common/micros.js';
import { addressParts } from '../../../src/spread/link/address-parts.js';
import type { Misdeed, SpoiledAnswer } from './misdeed.js';
import type { Seen, ServerArrival } from './seen.js';
import { largeAnswerIn, type AnswerFraming } from './large-answer.js';
import { eventText, placeOfId, plainBytes } from './server-text.js';
import type { WorkDesk } from './work-desk.js';

/** A server of the platform on loopback. */
export type PlatformServer = {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly type: 'model' | 'web';
  readonly slots: number;
  /** Misbehaves with its next answers, one after the other. */
  readonly misbehave: (...misdeeds: readonly AnyMisdeed[]) => void;
  readonly misdeedsLeft: () => number;
  /** Begins no work for so long: requests wait, as in a long queue. */
  readonly stall: (spanUs: Micros) => void;
  readonly drain: () => void;
  readonly isDraining: () => boolean;
  readonly version: () => number;
  readonly setWeights: (version: number) => void;
  /** Ends at once: what was open is reset, and who dials is refused. */
  readonly crash: () => Promise<void>;
};

type AnyMisdeed = Misdeed | SpoiledAnswer;

export type PlatformServerPlan = {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly type: 'model' | 'web';
  readonly slots: number;
  readonly desk: WorkDesk;
  readonly seen: Seen;
};

const textOf = (message: IncomingMessage, name: string): string | undefined => {
  const value = message.headers[name];
  return typeof value === 'string' ? value : undefined;
};

const slowRefusalUs: Micros = 1_000_000;

/** Starts a server that speaks as the platform's page says. */
export const openPlatformServer = async (plan: PlatformServerPlan): Promise<PlatformServer> => {
  const { id, service, address, zone, type, slots, desk, seen } = plan;
  const misdeeds: AnyMisdeed[] = [];
  let isDraining = false;
  let version = 1;
  let seals = 0;
  let stalledUntilUs: Micros = 0;
  const underWay = new Set<ServerArrival>();
  /** Connections that carried more than was asked for. */
  const spoiled = new WeakSet<Socket>();

  const baseOf = (attempt: string): Record<string, string> => ({
    'Ledgehill-Attempt-Id': attempt,
    'Ledgehill-Weight-Versions': String(version),
    ...(isDraining ? { Connection: 'close' } : {}),
  });

  const turnAway = (response: ServerResponse, status: number, attempt: string): void => {
    if (response.destroyed) return;
    response.writeHead(status, { ...baseOf(attempt), 'Ledgehill-Not-Run': '1', 'Content-Length': '0' });
    response.end();
  };

  /** The head of an answer, spoiled as the misdeed says. */
  const headOf = (attempt: string, misdeed: AnyMisdeed | undefined): Record<string, string> => {
    seals += 1;
    return {
      ...baseOf(misdeed === 'other-id' ? `${attempt}-other` : attempt),
      ...(misdeed === 'no-seal' ? {} : { 'Ledgehill-Server-Seal': `${id}.${seals}` }),
      ...(misdeed === 'encoded' ? { 'Content-Encoding': 'identity' } : {}),
    };
  };

  const isReset = (misdeed: AnyMisdeed | undefined): boolean =>
    misdeed === 'reset' || misdeed === 'reset-without-length';

  /** Lets an answer tell no length, so that it ends with its connection. */
  const leaveLengthOut = (response: ServerResponse): void => {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  };

  /** The fields that frame an answer; it has a length where nothing else is asked for. */
  const frame = (
    response: ServerResponse,
    framing: AnswerFraming | undefined,
    bytes: number,
  ): Record<string, string | number> => {
    if (framing === 'none') leaveLengthOut(response);
    if (framing === 'none' || framing === 'chunks') return {};
    return { 'Content-Length': bytes, ...(framing === 'closing' ? { Connection: 'close' } : {}) };
  };

  const finish = (message: IncomingMessage, response: ServerResponse, misdeed: AnyMisdeed | undefined): void => {
    const { socket } = message;
    response.end(() => {
      if (misdeed !== 'surplus') return;
      spoiled.add(socket);
      socket.write(
        'HTTP/1.1 200 OK\r\nLedgehill-Attempt-Id: surplus\r\nLedgehill-Server-Seal: surplus\r\nContent-Length: 7\r\n\r\nsurplus',
      );
    });
  };

  const isMute = (message: IncomingMessage, arrival: ServerArrival, misdeed: AnyMisdeed | undefined): boolean => {
    if (misdeed !== undefined && misdeed !== 'surplus') arrival.broken = true;
    if (misdeed === 'close-before-answer') message.socket.resetAndDestroy();
    if (typeof misdeed === 'object') {
      const fields = Object.entries(headOf(arrival.attempt, misdeed)).map(([name, value]) => `${name}: ${value}\r\n`);
      message.socket.write(misdeed.bytesOf(fields.join('')), 'latin1');
      return true;
    }
    return misdeed === 'silence' || misdeed === 'close-before-answer';
  };

  const stream = (message: IncomingMessage, response: ServerResponse, arrival: ServerArrival): void => {
    const [read = 0, write = 0] = (textOf(message, 'ledgehill-token-count') ?? '').split(',').map(Number);
    const after = arrival.lastEventId === undefined ? 0 : placeOfId(arrival.body, arrival.lastEventId);
    const misdeed = misdeeds.shift();
    let shownVersion = version;
    let given = 0;
    response.once('close', () => desk.cancel(arrival.attempt));
    desk.take(
      {
        name: arrival.attempt,
        opening: parsePromptPrefix(textOf(message, 'ledgehill-prompt-prefix')),
        readTokens: read,
        writeTokens: write,
        fromPiece: after,
        urgency: Number(textOf(message, 'ledgehill-urgency') ?? 5),
        budgetUs: Number(textOf(message, 'ledgehill-budget-ms') ?? 60_000) * 1_000,
      },
      {
        turnedAway: () => turnAway(response, 503, arrival.attempt),
        began: (beganVersion) => {
          arrival.ran = true;
          shownVersion = beganVersion;
          if (misdeed === 'reset-without-length') leaveLengthOut(response);
          if (!isMute(message, arrival, misdeed))
            response.writeHead(200, { ...headOf(arrival.attempt, misdeed), 'Content-Type': 'text/event-stream' });
        },
        piece: (piece, pieceVersion) => {
          if (!response.headersSent || piece < after) return;
          response.write(eventText(arrival.body, piece + 1, pieceVersion === shownVersion ? undefined : pieceVersion));
          shownVersion = pieceVersion;
          given += 1;
          if (isReset(misdeed) && given === 2) message.socket.resetAndDestroy();
        },
        done: () => {
          if (response.headersSent) finish(message, response, misdeed);
        },
        overdue: () => void response.destroy(),
      },
    );
  };

  const plain = (message: IncomingMessage, response: ServerResponse, arrival: ServerArrival): void => {
    const misdeed = misdeeds.shift();
    if (misdeed === 'slow-refusal') {
      arrival.broken = true;
      monotonicClock.after(slowRefusalUs, () => turnAway(response, 503, arrival.attempt));
      return;
    }
    response.once('close', () => desk.cancel(arrival.attempt));
    desk.take(
      {
        name: arrival.attempt,
        opening: [],
        readTokens: 0,
        writeTokens: 0,
        fromPiece: 0,
        urgency: 5,
        budgetUs: Number(textOf(message, 'ledgehill-budget-ms') ?? 60_000) * 1_000,
      },
      {
        turnedAway: () => turnAway(response, 503, arrival.attempt),
        began: () => {
          arrival.ran = true;
        },
        piece: () => undefined,
        done: () => {
          if (isMute(message, arrival, misdeed)) return;
          const bytes = plainBytes(service, arrival.body);
          const framing = misdeed === 'reset-without-length' ? 'none' : largeAnswerIn(arrival.body)?.framing;
          response.writeHead(200, { ...headOf(arrival.attempt, misdeed), ...frame(response, framing, bytes.length) });
          if (!isReset(misdeed)) {
            response.write(bytes);
            finish(message, response, misdeed);
            return;
          }
          response.write(bytes.subarray(0, bytes.length / 2), () => message.socket.resetAndDestroy());
        },
        overdue: () => void response.destroy(),
      },
    );
  };

  const work = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (message.url === '/ledgehill/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(
        JSON.stringify({
          phase: 'mixed',
          llms: [{ name: 'm', ver: version, loras: [] }],
          util: false,
          serial: 0,
          queued: 0,
          active: desk.active(),
          kv_inuse: 0,
          kv_max: 1,
          caps: 0,
        }),
      );
      return;
    }
    if (message.url === '/healthz') {
      response.writeHead(isDraining ? 503 : 200, { 'Ledgehill-Server-Id': id });
      response.end();
      return;
    }
    const body = (await buffer(message)).toString('latin1');
    const attempt = textOf(message, 'ledgehill-attempt-id');
    const arrival: ServerArrival = {
      server: id,
      service,
      attempt: attempt ?? '',
      method: message.method ?? '',
      target: message.url ?? '',
      body,
      lastEventId: textOf(message, 'last-event-id'),
      headers: message.headers,
      atUs: monotonicNow(),
      ran: false,
      broken: spoiled.has(message.socket),
    };
    underWay.add(arrival);
    response.once('close', () => underWay.delete(arrival));
    seen.arrivals.push(arrival);
    if (monotonicNow() < stalledUntilUs) await delay(monotonicClock, stalledUntilUs - monotonicNow());
    if (response.destroyed) return;
    const wanted = textOf(message, 'ledgehill-want-server');
    const wantedVersion = textOf(message, 'ledgehill-want-version');
    if (attempt === undefined) turnAway(response, 400, '');
    else if (
      (wanted !== undefined && wanted !== id) ||
      (wantedVersion !== undefined && Number(wantedVersion) !== version)
    )
      turnAway(response, 421, attempt);
    else if (type === 'model') stream(message, response, arrival);
    else plain(message, response, arrival);
  };

  const server = createServer({ keepAliveTimeout: 10_000 }, (message, response) => {
    work(message, response).catch(() => response.destroy());
  });
  const sockets = new Set<Socket>();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  });
  const { host, port } = addressParts(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    id,
    service,
    address,
    zone,
    type,
    slots,
    misbehave: (...more) => void misdeeds.push(...more),
    misdeedsLeft: () => misdeeds.length,
    stall: (spanUs) => {
      stalledUntilUs = monotonicNow() + spanUs;
    },
    drain: () => {
      isDraining = true;
    },
    isDraining: () => isDraining,
    version: () => version,
    setWeights: (newVersion) => {
      version = newVersion;
      desk.setWeights(newVersion);
    },
    crash: () =>
      new Promise((resolve) => {
        for (const arrival of underWay) arrival.broken = true;
        desk.close();
        server.close(() => resolve());
        for (const socket of sockets) socket.resetAndDestroy();
      }),
  };
};
