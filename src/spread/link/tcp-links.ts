import { EventEmitter } from 'node:events';
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { deserialize, serialize } from 'bson';
import { object, string, mixed } from 'yup';
import { steadyNow, toMillis, type Micros } from '../../common/micros.js';
import { checked } from '../../common/checked.js';
import type { Frame } from '../frame/frame.js';
import { isFrame } from '../frame/frame-guard.js';
import { addressParts } from './address-parts.js';
import { freshPatience, isOverdue, patienceAfterSend, signSpanUs, type Patience } from './patience.js';
import type { LinkEvents } from './link-events.js';
import type { PartnerLinks } from './partner-links.js';

const mostFrameBytes = 64 << 20;
const mostWaitingBytes = 64 << 20;
const redialUs: Micros = 200_000;
/** A link that nothing was sent over for so long is closed; nodes of a large fleet speak to others by turns. */
const idleUs: Micros = 10_000_000;
const dialBudgetUs: Micros = 700_000;
/** What a receiver writes back now and then, so that its sender knows of a link that leads nowhere. */
const sign = Uint8Array.of(1);

const envelopeSchema = object({ from: string().required(), frame: mixed(isFrame).required() }).required();

type OutLink = {
  readonly socket: Socket;
  readonly isOpen: () => boolean;
  readonly waiting: Uint8Array[];
  patience: Patience;
  usedUs: Micros;
  isRetired: boolean;
};

const readFrames = (
  socket: Socket,
  tell: (from: string, frame: Frame) => void,
  events: EventEmitter<LinkEvents>,
): void => {
  let pending: Buffer = Buffer.alloc(0);
  let signedUs = Number.NEGATIVE_INFINITY;
  socket.on('data', (chunk: Buffer) => {
    const nowUs = steadyNow();
    if (nowUs >= signedUs + signSpanUs) {
      signedUs = nowUs;
      socket.write(sign);
    }
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
    while (pending.length >= 4) {
      const frameLength = pending.readInt32LE(0);
      if (frameLength < 5 || frameLength > mostFrameBytes) {
        events.emit('badFrame');
        socket.destroy();
        return;
      }
      if (pending.length < frameLength) return;
      const frameBytes = pending.subarray(0, frameLength);
      pending = pending.subarray(frameLength);
      try {
        checked(envelopeSchema, deserialize(frameBytes))
          .ifRight(({ from, frame }) => tell(from, frame))
          .ifLeft(() => events.emit('badFrame'));
      } catch {
        events.emit('badFrame');
        socket.destroy();
        return;
      }
    }
  });
};

/** Links over TCP, a BSON document a frame; `address` is where partners reach this process. */
export const openTcpLinks = (address: string, listenAddress = address): PartnerLinks => {
  const events = new EventEmitter<LinkEvents>();
  const outLinks = new Map<string, OutLink>();
  const redialAfter = new Map<string, number>();
  const inSockets = new Set<Socket>();
  /** Who speaks is there: what it hears in return must not wait for the next dial, as after its restart. */
  const heard = (from: string, frame: Frame): void => {
    redialAfter.delete(from);
    events.emit('frame', from, frame);
  };
  const server: Server = createServer((socket) => {
    inSockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => inSockets.delete(socket));
    readFrames(socket, heard, events);
  });
  let isClosed = false;

  const dial = (target: string): OutLink | undefined => {
    if ((redialAfter.get(target) ?? 0) > steadyNow()) return undefined;
    const { host, port } = addressParts(target);
    const socket = createConnection({ host, port });
    const waiting: Uint8Array[] = [];
    let isOpen = false;
    socket.setNoDelay(true);
    const dialTimer = setTimeout(() => socket.destroy(), toMillis(dialBudgetUs));
    socket.on('connect', () => {
      clearTimeout(dialTimer);
      isOpen = true;
      for (const bytes of waiting.splice(0)) socket.write(bytes);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(dialTimer);
      if (outLinks.get(target)?.socket === socket) outLinks.delete(target);
      if (outLink.isRetired) redialAfter.delete(target);
      else redialAfter.set(target, steadyNow() + redialUs);
    });
    const outLink: OutLink = {
      socket,
      isOpen: () => isOpen,
      waiting,
      patience: freshPatience,
      usedUs: steadyNow(),
      isRetired: false,
    };
    socket.on('data', () => {
      outLink.patience = freshPatience;
    });
    outLinks.set(target, outLink);
    return outLink;
  };

  const retireIdle = (nowUs: Micros): void => {
    for (const [target, outLink] of outLinks) {
      if (!outLink.isOpen() || nowUs < outLink.usedUs + idleUs) continue;
      outLink.isRetired = true;
      outLinks.delete(target);
      outLink.socket.end();
    }
  };

  const send = (target: string, frame: Frame): void => {
    if (isClosed) return;
    const known = outLinks.get(target);
    if (known === undefined) retireIdle(steadyNow());
    const outLink = known ?? dial(target);
    if (outLink === undefined) return;
    outLink.usedUs = steadyNow();
    const bytes = serialize({ from: address, frame });
    if (!outLink.isOpen()) {
      if (outLink.waiting.length < 256) outLink.waiting.push(bytes);
      return;
    }
    const nowUs = steadyNow();
    outLink.patience = patienceAfterSend(outLink.patience, nowUs);
    if (outLink.socket.writableLength > mostWaitingBytes || isOverdue(outLink.patience, nowUs))
      outLink.socket.destroy();
    else outLink.socket.write(bytes);
  };

  return {
    events,
    listen: () =>
      new Promise((resolve, reject) => {
        const { host, port } = addressParts(listenAddress);
        server.once('error', reject);
        server.listen(port, host, () => {
          server.off('error', reject);
          resolve();
        });
      }),
    send,
    close: () => {
      isClosed = true;
      server.close();
      for (const socket of inSockets) socket.destroy();
      for (const { socket } of outLinks.values()) socket.destroy();
    },
  };
};
