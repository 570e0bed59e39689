import type { Socket } from 'node:net';
import { monotonicNow } from '../../common/micros.js';
import type { Frame } from '../frame/frame.js';
import type { FrameEnvelope } from './instance-fence.js';
import type { LinkIdentity } from './link-identity.js';
import { ackIntervalUs } from './ack-timer.js';
import { documentAt, greetingOf, instancePairBytes, readFrame, readIntroduction, ack } from './wire-format.js';

/** Callbacks of an accepted connection. */
export type IncomingListener = {
  readonly frame: (envelope: FrameEnvelope, frame: Frame) => void;
  /** A document is malformed or is not a known frame. */
  readonly badFrame: () => void;
};

/**
 * Serves an accepted connection: writes the greeting, reads the sender's introduction, then its frames. The connection
 * is closed when a document is malformed or a frame carries another instance ID than the introduction.
 */
export const readConnection = (
  socket: Socket,
  ownInstanceId: string,
  connection: number,
  listener: IncomingListener,
): void => {
  let pending: Buffer = Buffer.alloc(0);
  let sender: LinkIdentity | undefined;
  let lastAckUs = monotonicNow();

  const acknowledge = (): void => {
    const nowUs = monotonicNow();
    if (nowUs < lastAckUs + ackIntervalUs) return;
    lastAckUs = nowUs;
    socket.write(ack);
  };

  const reject = (): boolean => {
    listener.badFrame();
    socket.destroy();
    return false;
  };

  const parseIntroduction = (): boolean =>
    documentAt(pending, 0).caseOf({
      Left: reject,
      Right: (document) => {
        if (document === undefined) return false;
        pending = pending.subarray(document.length);
        return readIntroduction(document).caseOf({
          Left: reject,
          Right: (introduced) => {
            sender = introduced;
            return true;
          },
        });
      },
    });

  const parseFrame = (introduced: LinkIdentity): boolean =>
    documentAt(pending, instancePairBytes).caseOf({
      Left: reject,
      Right: (document) => {
        if (document === undefined) return false;
        const instanceIds = pending.toString('hex', 0, instancePairBytes);
        pending = pending.subarray(instancePairBytes + document.length);
        const senderLife = instanceIds.slice(0, instanceIds.length / 2);
        const receiverLife = instanceIds.slice(instanceIds.length / 2);
        if (senderLife !== introduced.life) return reject();
        return readFrame(document).caseOf({
          Left: reject,
          Right: (frame) => {
            if (frame === undefined) listener.badFrame();
            else listener.frame({ sender: introduced, receiverLife, connection }, frame);
            return !socket.destroyed;
          },
        });
      },
    });

  socket.write(greetingOf(ownInstanceId));
  socket.on('data', (chunk: Buffer) => {
    acknowledge();
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
    while (sender === undefined ? parseIntroduction() : parseFrame(sender));
  });
};
