import { createConnection } from 'node:net';
import { steadyClock } from '../../common/clock/steady-clock.js';
import { steadyNow, type Micros } from '../../common/micros.js';
import type { Frame } from '../frame/frame.js';
import { addressParts } from './address-parts.js';
import type { LinkIdentity } from './link-identity.js';
import { freshPatience, isOverdue, patienceAfterSend } from './patience.js';
import { frameBytesOf, greetingBytes, introductionOf, lifeInGreeting, livesOf } from './wire-format.js';

/** A connection to one address; it never dials again. */
export type OutgoingConnection = {
  readonly send: (frame: Frame) => void;
  /** Ends it in order if nothing was sent over it for long; whether it did. */
  readonly retireIfIdle: (nowUs: Micros) => boolean;
  readonly destroy: () => void;
};

export type OutgoingListener = {
  readonly badFrame: () => void;
  /** The connection has ended; `isRetired` where that was in order. */
  readonly closed: (isRetired: boolean) => void;
};

const mostWaitingBytes = 64 << 20;
const mostWaitingFrames = 256;
/** A connection that nothing was sent over for so long is closed; nodes of a large fleet speak to others by turns. */
const idleUs: Micros = 10_000_000;
const dialBudgetUs: Micros = 700_000;
/** How long a receiver may take to greet once its system has taken the connection. */
const greetingBudgetUs: Micros = 1_500_000;

/** Dials an address. Frames wait until the receiver has named its life, and each one bears the lives of both ends. */
export const openConnection = (
  target: string,
  self: LinkIdentity,
  { badFrame, closed }: OutgoingListener,
): OutgoingConnection => {
  const socket = createConnection({ ...addressParts(target), noDelay: true });
  const waiting: Uint8Array[] = [];
  let waitingBytes = 0;
  let greeting: Buffer = Buffer.alloc(0);
  let lives: Uint8Array | undefined;
  let patience = freshPatience;
  let usedUs = steadyNow();
  let isRetired = false;
  const destroy = (): void => void socket.destroy();
  let takeBack = steadyClock.after(dialBudgetUs, destroy);

  const write = (bothLives: Uint8Array, frameBytes: Uint8Array): void => {
    socket.write(Buffer.concat([bothLives, frameBytes]));
  };

  const greeted = (receiverLife: string): void => {
    takeBack();
    const bothLives = livesOf(self.life, receiverLife);
    lives = bothLives;
    socket.write(introductionOf(self));
    for (const frameBytes of waiting.splice(0)) write(bothLives, frameBytes);
  };

  const readGreeting = (chunk: Buffer): void => {
    greeting = Buffer.concat([greeting, chunk]);
    if (greeting.length < greetingBytes) return;
    const receiverLife = lifeInGreeting(greeting);
    if (receiverLife !== undefined) {
      greeted(receiverLife);
      return;
    }
    badFrame();
    socket.destroy();
  };

  const wait = (frameBytes: Uint8Array): void => {
    if (waiting.length >= mostWaitingFrames || waitingBytes + frameBytes.length > mostWaitingBytes) return;
    waitingBytes += frameBytes.length;
    waiting.push(frameBytes);
  };

  socket.on('connect', () => {
    takeBack();
    takeBack = steadyClock.after(greetingBudgetUs, destroy);
  });
  socket.on('data', (chunk: Buffer) => {
    patience = freshPatience;
    if (lives === undefined) readGreeting(chunk);
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    takeBack();
    closed(isRetired);
  });

  return {
    send: (frame) => {
      const nowUs = steadyNow();
      usedUs = nowUs;
      const frameBytes = frameBytesOf(frame);
      if (lives === undefined) {
        wait(frameBytes);
        return;
      }
      patience = patienceAfterSend(patience, nowUs);
      if (socket.writableLength > mostWaitingBytes || isOverdue(patience, nowUs)) socket.destroy();
      else write(lives, frameBytes);
    },
    retireIfIdle: (nowUs) => {
      if (lives === undefined || nowUs < usedUs + idleUs) return false;
      isRetired = true;
      socket.end();
      return true;
    },
    destroy,
  };
};
