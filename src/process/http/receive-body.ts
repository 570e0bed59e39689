import type { IncomingMessage } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import type { Micros } from '../../common/micros.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { maxSmallBodyBytes, type BodyMemory } from '../memory/body-memory.js';
import type { Reservation } from '../memory/memory-pool.js';
import { openByteBuffer } from './byte-buffer.js';

/** A completely received body. Its memory stays reserved until `release` is called. */
export type ReceivedBody = {
  readonly bytes: Uint8Array;
  /** How long the request waited for memory. */
  readonly waitedUs: Micros;
  readonly release: () => void;
};

export type BodyLimits = {
  readonly mostBytes: number;
  /** How long the request may wait for memory. */
  readonly mostWaitUs: Micros;
};

const oversized = (mostBytes: number): TypedError =>
  typedError('oversized-body', `the body is larger than the limit of ${mostBytes} bytes`);

/** The declared length of a body; undefined for a chunked body. */
const declaredLengthOf = ({ headers }: IncomingMessage): number | undefined => {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
};

/**
 * Reads the body of a request. Reading begins once memory for it is reserved. Settles once: with the body, with `oversized-body`, with
 * `over-memory`, or with `link-error` if the connection closes. After an error the body is discarded.
 */
export const receiveBody = (
  message: IncomingMessage,
  memory: BodyMemory,
  { mostBytes, mostWaitUs }: BodyLimits,
  settle: (outcome: Either<TypedError, ReceivedBody>) => void,
): void => {
  const declaredBytes = declaredLengthOf(message);
  const buffer = openByteBuffer(declaredBytes, mostBytes);
  let reservation: Reservation | undefined;
  let reservedBytes = 0;
  let waitedUs: Micros = 0;
  let isSettled = false;
  let cancelWait = (): void => undefined;

  const settleOnce = (outcome: Either<TypedError, ReceivedBody>): void => {
    if (isSettled) return;
    isSettled = true;
    cancelWait();
    if (outcome.isLeft()) {
      reservation?.release();
      buffer.clear();
    }
    settle(outcome);
  };

  const fail = (error: TypedError): void => settleOnce(Left(error));

  /** Replaces the current reservation, if any, by one of the given size. */
  const reserve = (bytes: number, onReserved: () => void): void => {
    cancelWait = memory.poolFor(bytes).reserve(bytes, mostWaitUs, (outcome) =>
      outcome.ifLeft(fail).ifRight((granted) => {
        reservation?.release();
        reservation = granted;
        reservedBytes = bytes;
        waitedUs += granted.waitedUs;
        onReserved();
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
    const bodyReservation = reservation;
    bodyReservation?.shrinkTo(buffer.size());
    settleOnce(Right({ bytes: buffer.bytes(), waitedUs, release: () => bodyReservation?.release() }));
  };

  message.on('error', (thrown) => settleOnce(Left(typedError('link-error', messageOf(thrown)))));
  message.on('close', () => settleOnce(Left(typedError('link-error', 'the client closed the connection'))));
  if (declaredBytes !== undefined && declaredBytes > mostBytes) {
    fail(oversized(mostBytes));
    return;
  }
  reserve(declaredBytes ?? Math.min(maxSmallBodyBytes, mostBytes), () => {
    message.on('data', onData);
    message.on('end', onEnd);
  });
};
