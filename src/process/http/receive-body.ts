import type { IncomingMessage } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import type { Micros } from '../../common/micros.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { smallBodyBytes, type BodyMemory } from '../memory/body-memory.js';
import type { Reservation } from '../memory/memory-pool.js';
import { openByteBuffer } from './byte-buffer.js';

/** A body that was read whole. Its memory is held until it is released. */
export type ReceivedBody = {
  readonly bytes: Uint8Array;
  /** How long it waited for memory. */
  readonly waitedUs: Micros;
  readonly release: () => void;
};

export type BodyLimits = {
  readonly mostBytes: number;
  /** How long it may wait for memory. */
  readonly mostWaitUs: Micros;
};

const oversized = (mostBytes: number): TypedError =>
  typedError('oversized-body', `the body may have at most ${mostBytes} bytes`);

/** The length that a message tells of its body; none for a body in chunks. */
const toldLengthOf = ({ headers }: IncomingMessage): number | undefined => {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
};

/**
 * Reads the body of a request once there is memory for it; until then nothing of it is read. Settles once: with the body,
 * with `oversized-body`, with `over-memory`, or with `link-error` where the caller went away. After an error nothing more of
 * the body is kept.
 */
export const receiveBody = (
  message: IncomingMessage,
  memory: BodyMemory,
  { mostBytes, mostWaitUs }: BodyLimits,
  settle: (outcome: Either<TypedError, ReceivedBody>) => void,
): void => {
  const toldBytes = toldLengthOf(message);
  const buffer = openByteBuffer(toldBytes, mostBytes);
  let reservation: Reservation | undefined;
  let reservedBytes = 0;
  let waitedUs: Micros = 0;
  let isSettled = false;
  let leaveWait = (): void => undefined;

  const settleOnce = (outcome: Either<TypedError, ReceivedBody>): void => {
    if (isSettled) return;
    isSettled = true;
    leaveWait();
    if (outcome.isLeft()) {
      reservation?.release();
      buffer.clear();
    }
    settle(outcome);
  };

  const fail = (error: TypedError): void => settleOnce(Left(error));

  /** Exchanges what is reserved for so many bytes. */
  const reserve = (bytes: number, goOn: () => void): void => {
    leaveWait = memory.poolFor(bytes).reserve(bytes, mostWaitUs, (outcome) =>
      outcome.ifLeft(fail).ifRight((granted) => {
        reservation?.release();
        reservation = granted;
        reservedBytes = bytes;
        waitedUs += granted.waitedUs;
        goOn();
      }),
    );
  };

  const onData = (chunk: Buffer): void => {
    if (isSettled) return;
    if (buffer.size() + chunk.length > mostBytes) {
      fail(oversized(mostBytes));
      return;
    }
    buffer.put(chunk);
    if (buffer.size() <= reservedBytes) return;
    message.pause();
    reserve(mostBytes, () => void message.resume());
  };

  const onEnd = (): void => {
    const held = reservation;
    held?.shrinkTo(buffer.size());
    settleOnce(Right({ bytes: buffer.bytes(), waitedUs, release: () => held?.release() }));
  };

  message.on('error', (thrown) => settleOnce(Left(typedError('link-error', messageOf(thrown)))));
  message.on('close', () => settleOnce(Left(typedError('link-error', 'the caller went away'))));
  if (toldBytes !== undefined && toldBytes > mostBytes) {
    fail(oversized(mostBytes));
    return;
  }
  reserve(toldBytes ?? Math.min(smallBodyBytes, mostBytes), () => {
    message.on('data', onData);
    message.on('end', onEnd);
  });
};
