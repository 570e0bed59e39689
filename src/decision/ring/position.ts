import { createHash } from 'node:crypto';

/** A point on the ring, an integer in [0, 2^48). */
export type Position = number;

const positionBytes = 6;

/** Exclusive upper bound of all positions. */
export const positionEnd = 2 ** (positionBytes * 8);

/** Hashes a text to a position. */
export const positionOf = (text: string): Position =>
  createHash('sha256').update(text).digest().readUIntBE(0, positionBytes);
