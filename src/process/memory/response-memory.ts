import { openByteAccount } from '../../common/memory/byte-account.js';
import type { ResponseMemory } from '../../router/delivery/response-memory.js';
import type { Counters } from '../counters.js';

/** Shares of the process's memory: of all bytes together, and of a single event. */
const responseShare = 1 / 10;
const eventShare = 1 / 40;

/** Opens the response memory of a process that has `memoryBytes` of memory in total. */
export const openResponseMemory = (memoryBytes: number, counters: Counters): ResponseMemory => {
  const account = openByteAccount(Math.floor(memoryBytes * responseShare), () => counters.count('responses.evicted'));
  counters.gauge('responses.heldBytes', account.heldBytes);
  return { ...account, maxEventBytes: Math.floor(memoryBytes * eventShare) };
};
