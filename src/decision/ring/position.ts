import { createHash } from 'node:crypto';

/** A point on the ring, a whole number below 2^48. */
export type Position = number;

const positionBytes = 6;

/** The first number that is no position any more. */
export const positionEnd = 2 ** (positionBytes * 8);

export const positionOf = (text: string): Position =>
  createHash('sha256').update(text).digest().readUIntBE(0, positionBytes);
