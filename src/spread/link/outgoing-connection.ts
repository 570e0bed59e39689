import { createConnection } from 'node:net';
import { monotonicClock } from '../../common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../common/micros.js';
import type { Frame } from '../frame/frame.js';
import { addressParts } from './address-parts.js';
import type { LinkIdentity } from './link-identity.js';
import { idleAckTimer, isAckOverdue, ackTimerAfterSend } from './ack-timer.js';
import { frameBytesOf, greetingBytes, introductionOf, instanceIdInGreeting, instancePairOf } from './wire-format.js';

/** A connection to one address; it never reconnects. */
export type OutgoingConnection = {
  /** Sends a frame, or queues it until the greeting arrives. Frames beyond the limits of the queue are dropped. */
  readonly send: (frame: Frame) => void;
  /** Closes the connection gracefully if nothing was sent within the idle time-out; returns whether it did. */
  readonly closeIfIdle: (nowUs: Micros) => boolean;
  readonly destroy: () => void;
};

export type OutgoingListener = {
  /** The receiver's greeting is malformed; the connection is destroyed. */
  readonly badFrame: () => void;
  /** The connection is closed; `isIdleClose` if `closeIfIdle` closed it, and not a failure. */
  readonly closed: (isIdleClose: boolean) => void;
};

const maxQueuedBytes = 64 << 20;
const maxQueuedFrames = 256;
/** In a large fleet each node exchanges frames with a changing subset of peers, so unused connections are closed. */
const idleTimeoutUs: Micros = 10_000_000;
const dialTimeoutUs: Micros = 700_000;
/** How long a receiver may take to send its greeting after its kernel has accepted the connection. */
const greetingTimeoutUs: Micros = 1_500_000;

/**
 * Dials an address. Frames are queued until the receiver's greeting arrives; each frame is preceded by the instance IDs
 * of both ends. A connection whose receiver stops acknowledging is destroyed on the next send.
 */
export const openConnection = (
  target: string,
  self: LinkIdentity,
  { badFrame, closed }: OutgoingListener,
): OutgoingConnection => {
  const socket = createConnection({ ...addressParts(target), noDelay: true });
  const queue: Uint8Array[] = [];
  let queuedBytes = 0;
  let greeting: Buffer = Buffer.alloc(0);
  let instanceIds: Uint8Array | undefined;
  let ackTimer = idleAckTimer;
  let lastSendUs = monotonicNow();
  let isIdleClose = false;
  const destroy = (): void => void socket.destroy();
  let cancelTimeout = monotonicClock.after(dialTimeoutUs, destroy);

  const write = (pair: Uint8Array, frameBytes: Uint8Array): void => {
    socket.write(Buffer.concat([pair, frameBytes]));
  };

  const onGreeting = (receiverInstanceId: string): void => {
    cancelTimeout();
    const pair = instancePairOf(self.life, receiverInstanceId);
    instanceIds = pair;
    socket.write(introductionOf(self));
    for (const frameBytes of queue.splice(0)) write(pair, frameBytes);
  };

  const readGreeting = (chunk: Buffer): void => {
    greeting = Buffer.concat([greeting, chunk]);
    if (greeting.length < greetingBytes) return;
    const receiverInstanceId = instanceIdInGreeting(greeting);
    if (receiverInstanceId !== undefined) {
      onGreeting(receiverInstanceId);
      return;
    }
    badFrame();
    socket.destroy();
  };

  const enqueue = (frameBytes: Uint8Array): void => {
    if (queue.length >= maxQueuedFrames || queuedBytes + frameBytes.length > maxQueuedBytes) return;
    queuedBytes += frameBytes.length;
    queue.push(frameBytes);
  };

  socket.on('connect', () => {
    cancelTimeout();
    cancelTimeout = monotonicClock.after(greetingTimeoutUs, destroy);
  });
  socket.on('data', (chunk: Buffer) => {
    ackTimer = idleAckTimer;
    if (instanceIds === undefined) readGreeting(chunk);
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    cancelTimeout();
    closed(isIdleClose);
  });

  return {
    send: (frame) => {
      const nowUs = monotonicNow();
      lastSendUs = nowUs;
      const frameBytes = frameBytesOf(frame);
      if (instanceIds === undefined) {
        enqueue(frameBytes);
        return;
      }
      ackTimer = ackTimerAfterSend(ackTimer, nowUs);
      if (socket.writableLength > maxQueuedBytes || isAckOverdue(ackTimer, nowUs)) socket.destroy();
      else write(instanceIds, frameBytes);
    },
    closeIfIdle: (nowUs) => {
      if (instanceIds === undefined || nowUs < lastSendUs + idleTimeoutUs) return false;
      isIdleClose = true;
      socket.end();
      return true;
    },
    destroy,
  };
};
