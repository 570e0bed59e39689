import type { Micros } from '../common/micros.js';

/** How exactly a quota has to be kept over the whole fleet. */
export type QuotaTolerance = {
  /** The span over which use is counted. */
  readonly windowUs: Micros;
  /** The part of what a window allows by which use may exceed it. */
  readonly excess: number;
  /** Units by which use may exceed it besides. */
  readonly margin: number;
};

/** A window of a second, and a tenth above the limit in it. */
export const usualTolerance: QuotaTolerance = { windowUs: 1_000_000, excess: 0.1, margin: 0 };
