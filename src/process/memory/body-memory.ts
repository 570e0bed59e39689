import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { Counters } from '../counters.js';
import { openMemoryPool, type MemoryPool } from './memory-pool.js';

/** The memory for request bodies. Small bodies have a pool of their own, so that they never wait behind large ones. */
export type BodyMemory = {
  /** The pool for a body of at most the given size. */
  readonly poolFor: (bytes: number) => MemoryPool;
  /** Refuses all waiting requests, and any that would have to wait from now on. */
  readonly refuseWaiting: () => void;
};

/** Bodies up to this size use the pool of small bodies. */
export const maxSmallBodyBytes = 1 << 17;
/**
 * Shares of the process's memory. The rest is for the program itself, and for released bodies that are not garbage-collected
 * yet.
 */
const largeShare = 1 / 5;
const smallShare = 1 / 8;
const waitingShare = 1 / 20;
/** The bytes that the runtime has buffered of a request that waits. */
const readAheadBytes = 1 << 16;

/** A request may wait for memory for this share of its time budget, so that the rest is left to serve it. */
const waitShare = 1 / 2;
const maxWaitUs: Micros = 10_000_000;

/** How long a request may wait for memory, by its time budget. */
export const memoryWaitOf = (budgetUs: Micros): Micros => Math.min(maxWaitUs, Math.floor(budgetUs * waitShare));

/** Opens the body memory of a process that has `memoryBytes` of memory in total. */
export const openBodyMemory = (memoryBytes: number, clock: Clock, counters: Counters): BodyMemory => {
  const maxWaiting = Math.floor((memoryBytes * waitingShare) / readAheadBytes);
  const large = openMemoryPool(Math.floor(memoryBytes * largeShare), maxWaiting, clock);
  const small = openMemoryPool(Math.floor(memoryBytes * smallShare), maxWaiting, clock);
  counters.gauge('bodies.heldBytes', () => large.heldBytes() + small.heldBytes());
  counters.gauge('bodies.waiting', () => large.waiting() + small.waiting());
  return {
    poolFor: (bytes) => (bytes <= maxSmallBodyBytes ? small : large),
    refuseWaiting: () => {
      large.refuseWaiting();
      small.refuseWaiting();
    },
  };
};
