import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { Counters } from '../counters.js';
import { openMemoryPool, type MemoryPool } from './memory-pool.js';

/** The memory for request bodies. Small ones have a part of their own, so that they never wait behind large ones. */
export type BodyMemory = {
  /** The pool from which a body of at most so many bytes is held. */
  readonly poolFor: (bytes: number) => MemoryPool;
  readonly endWaits: () => void;
};

/** A body up to this size is small. */
export const smallBodyBytes = 1 << 17;
/**
 * Parts of a process's memory. Beside the bodies stand the program itself, and bodies that are not held any more and not yet
 * collected.
 */
const largeShare = 1 / 5;
const smallShare = 1 / 8;
const waitingShare = 1 / 20;
/** What the runtime reads ahead of a request that waits. */
const readAheadBytes = 1 << 16;

/** A request waits for memory for a part of its time, so that what is left serves it. */
const waitShare = 1 / 2;
const mostWaitUs: Micros = 10_000_000;

/** How long a request with so much time may wait for memory. */
export const memoryWaitOf = (budgetUs: Micros): Micros => Math.min(mostWaitUs, Math.floor(budgetUs * waitShare));

/** Opens the memory for bodies of a process that has so much memory in all. */
export const openBodyMemory = (memoryBytes: number, clock: Clock, counters: Counters): BodyMemory => {
  const mostWaiting = Math.floor((memoryBytes * waitingShare) / readAheadBytes);
  const large = openMemoryPool(Math.floor(memoryBytes * largeShare), mostWaiting, clock);
  const small = openMemoryPool(Math.floor(memoryBytes * smallShare), mostWaiting, clock);
  counters.gauge('bodies.heldBytes', () => large.heldBytes() + small.heldBytes());
  counters.gauge('bodies.waiting', () => large.waiting() + small.waiting());
  return {
    poolFor: (bytes) => (bytes <= smallBodyBytes ? small : large),
    endWaits: () => {
      large.endWaits();
      small.endWaits();
    },
  };
};
