import { Left, Right, type Either } from 'purify-ts';
import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';

/** A part of a pool that one request holds. */
export type Reservation = {
  /** How long it was waited for. */
  readonly waitedUs: Micros;
  /** Gives back what is held beyond so many bytes. */
  readonly shrinkTo: (bytes: number) => void;
  readonly release: () => void;
};

/** A bound on the bytes that requests hold together. Who comes first is served first. */
export type MemoryPool = {
  /**
   * Settles once with the reservation, at once where there is room; with `over-memory` where none comes free in time or too many
   * wait, and with `oversized-body` for more than the whole pool. What it returns gives up waiting.
   */
  readonly reserve: (
    bytes: number,
    waitUs: Micros,
    settle: (outcome: Either<TypedError, Reservation>) => void,
  ) => () => void;
  readonly heldBytes: () => number;
  readonly waiting: () => number;
  /** Refuses all that wait, and whatever would have to wait from now on. */
  readonly endWaits: () => void;
};

type Waiter = {
  readonly bytes: number;
  readonly sinceUs: Micros;
  readonly settle: (outcome: Either<TypedError, Reservation>) => void;
};

const overMemory = typedError('over-memory', 'refused: too many bodies are held at the moment');

/** Opens an empty pool; at most so many requests wait for room in it. */
export const openMemoryPool = (capacityBytes: number, mostWaiting: number, clock: Clock): MemoryPool => {
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
    const shrinkTo = (keptBytes: number): void => {
      if (keptBytes >= ownBytes) return;
      heldBytes -= ownBytes - keptBytes;
      ownBytes = keptBytes;
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
        takeBack();
        settle(outcome);
      },
    };
    const leave = (): void => {
      waiters.delete(waiter);
      serveWaiters();
    };
    const takeBack = clock.after(waitUs, () => {
      leave();
      settle(Left(overMemory));
    });
    waiters.add(waiter);
    return () => {
      takeBack();
      leave();
    };
  };

  return {
    reserve: (bytes, waitUs, settle) => {
      if (bytes > capacityBytes) {
        settle(Left(typedError('oversized-body', `the body is larger than the ${capacityBytes} bytes for bodies`)));
        return () => undefined;
      }
      if (bytes === 0 || (waiters.size === 0 && hasRoom(bytes))) {
        settle(Right(hold(bytes, 0)));
        return () => undefined;
      }
      if (refusesWaits || waiters.size >= mostWaiting) {
        settle(Left(overMemory));
        return () => undefined;
      }
      return wait(bytes, waitUs, settle);
    },
    heldBytes: () => heldBytes,
    waiting: () => waiters.size,
    endWaits: () => {
      refusesWaits = true;
      const refused = [...waiters];
      waiters.clear();
      for (const { settle } of refused) settle(Left(overMemory));
    },
  };
};
