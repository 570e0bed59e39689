import type { Socket } from 'node:net';
import { steadyNow } from '../../common/micros.js';
import type { Frame } from '../frame/frame.js';
import type { FrameEnvelope } from './life-fence.js';
import type { LinkIdentity } from './link-identity.js';
import { signSpanUs } from './patience.js';
import { documentAt, greetingOf, livesBytes, readFrame, readIntroduction, sign } from './wire-format.js';

/** What an accepted connection tells. */
export type IncomingListener = {
  readonly frame: (envelope: FrameEnvelope, frame: Frame) => void;
  readonly badFrame: () => void;
};

/** Greets whoever connected and reads its introduction and its frames; bytes of no known form end the connection. */
export const readConnection = (
  socket: Socket,
  ownLife: string,
  connection: number,
  listener: IncomingListener,
): void => {
  let pending: Buffer = Buffer.alloc(0);
  let sender: LinkIdentity | undefined;
  let signedUs = steadyNow();

  const giveSign = (): void => {
    const nowUs = steadyNow();
    if (nowUs < signedUs + signSpanUs) return;
    signedUs = nowUs;
    socket.write(sign);
  };

  const refuse = (): boolean => {
    listener.badFrame();
    socket.destroy();
    return false;
  };

  const takeIntroduction = (): boolean =>
    documentAt(pending, 0).caseOf({
      Left: refuse,
      Right: (document) => {
        if (document === undefined) return false;
        pending = pending.subarray(document.length);
        return readIntroduction(document).caseOf({
          Left: refuse,
          Right: (introduced) => {
            sender = introduced;
            return true;
          },
        });
      },
    });

  const takeFrame = (introduced: LinkIdentity): boolean =>
    documentAt(pending, livesBytes).caseOf({
      Left: refuse,
      Right: (document) => {
        if (document === undefined) return false;
        const lives = pending.toString('hex', 0, livesBytes);
        pending = pending.subarray(livesBytes + document.length);
        const senderLife = lives.slice(0, lives.length / 2);
        const receiverLife = lives.slice(lives.length / 2);
        if (senderLife !== introduced.life) return refuse();
        return readFrame(document).caseOf({
          Left: refuse,
          Right: (frame) => {
            if (frame === undefined) listener.badFrame();
            else listener.frame({ sender: introduced, receiverLife, connection }, frame);
            return !socket.destroyed;
          },
        });
      },
    });

  socket.write(greetingOf(ownLife));
  socket.on('data', (chunk: Buffer) => {
    giveSign();
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
    while (sender === undefined ? takeIntroduction() : takeFrame(sender));
  });
};
