import { Left, Right, type Either } from 'purify-ts';
import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';

/** The part of a pool that one request has reserved. */
export type Reservation = {
  /** How long the request waited for it. */
  readonly waitedUs: Micros;
  /** Returns what is reserved beyond the given size to the pool. */
  readonly shrinkTo: (bytes: number) => void;
  readonly release: () => void;
};

/** Bounds the bytes that all requests hold together. Waiting requests are served in order (FIFO). */
export type MemoryPool = {
  /**
   * Settles once: with a reservation, at once if there is room; with `over-memory` after `waitUs` or if too many requests wait; with
   * `oversized-body` if the whole pool is too small. The returned function cancels the wait.
   */
  readonly reserve: (
    bytes: number,
    waitUs: Micros,
    settle: (outcome: Either<TypedError, Reservation>) => void,
  ) => () => void;
  readonly heldBytes: () => number;
  /** The number of waiting requests. */
  readonly waiting: () => number;
  /** Refuses all waiting requests, and any that would have to wait from now on. */
  readonly refuseWaiting: () => void;
};

type Waiter = {
  readonly bytes: number;
  readonly sinceUs: Micros;
  readonly settle: (outcome: Either<TypedError, Reservation>) => void;
};

const overMemory = typedError('over-memory', 'refused: not enough memory for the request body at the moment');

/** Opens an empty pool, in which at most `maxWaiting` requests wait. */
export const openMemoryPool = (capacityBytes: number, maxWaiting: number, clock: Clock): MemoryPool => {
  const waiters = new Set<Waiter>();
  let heldBytes = 0;
  let refusesWaits = false;

  const hasRoom = (bytes: number): boolean => heldBytes + bytes <= capacityBytes;

  const serveWaiters = (): void => {
    for (const waiter of waiters) {
      if (!hasRoom(waiter.bytes)) return;
      waiters.delete(waiter);
      waiter.settle(Right(hold(waiter.bytes, clock.now() - waiter.sinceUs)));
    }
  };

  const hold = (bytes: number, waitedUs: Micros): Reservation => {
    let ownBytes = bytes;
    heldBytes += bytes;
    const shrinkTo = (newBytes: number): void => {
      if (newBytes >= ownBytes) return;
      heldBytes -= ownBytes - newBytes;
      ownBytes = newBytes;
      serveWaiters();
    };
    return { waitedUs, shrinkTo, release: () => shrinkTo(0) };
  };

  const wait = (
    bytes: number,
    waitUs: Micros,
    settle: (outcome: Either<TypedError, Reservation>) => void,
  ): (() => void) => {
    const waiter: Waiter = {
      bytes,
      sinceUs: clock.now(),
      settle: (outcome) => {
        cancelTimeout();
        settle(outcome);
      },
    };
    const leave = (): void => {
      waiters.delete(waiter);
      serveWaiters();
    };
    const cancelTimeout = clock.after(waitUs, () => {
      leave();
      settle(Left(overMemory));
    });
    waiters.add(waiter);
    return () => {
      cancelTimeout();
      leave();
    };
  };

  return {
    reserve: (bytes, waitUs, settle) => {
      if (bytes > capacityBytes) {
        settle(
          Left(typedError('oversized-body', `the body is larger than the ${capacityBytes} bytes of its memory pool`)),
        );
        return () => undefined;
      }
      if (bytes === 0 || (waiters.size === 0 && hasRoom(bytes))) {
        settle(Right(hold(bytes, 0)));
        return () => undefined;
      }
      if (refusesWaits || waiters.size >= maxWaiting) {
        settle(Left(overMemory));
        return () => undefined;
      }
      return wait(bytes, waitUs, settle);
    },
    heldBytes: () => heldBytes,
    waiting: () => waiters.size,
    refuseWaiting: () => {
      refusesWaits = true;
      const refused = [...waiters];
      waiters.clear();
      for (const { settle } of refused) settle(Left(overMemory));
    },
  };
};
