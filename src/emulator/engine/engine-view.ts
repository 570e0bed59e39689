import type { Micros } from '../../common/micros.js';
import type { EngineFigures } from './engine-figures.js';
import type { EngineRun } from './engine-run.js';
import type { KeptPart } from './kept-part.js';

/** A step under way, and how many tokens it reads for whom. */
export type EngineStep = {
  readonly endsUs: Micros;
  readonly reads: ReadonlyMap<string, number>;
};

/** All that an engine knows. */
export type EngineView = {
  readonly figures: EngineFigures;
  readonly atUs: Micros;
  readonly version: number;
  readonly arrivals: number;
  /** The most urgent first, then the oldest. */
  readonly waiting: readonly EngineRun[];
  readonly batch: readonly EngineRun[];
  /** The longest unused first. */
  readonly kept: ReadonlyMap<string, KeptPart>;
  readonly step: EngineStep | undefined;
  /** Prompt tokens read so far. */
  readonly readTokens: number;
};

export const startEngineView = (figures: EngineFigures, version = 1): EngineView => ({
  figures,
  atUs: 0,
  version,
  arrivals: 0,
  waiting: [],
  batch: [],
  kept: new Map(),
  step: undefined,
  readTokens: 0,
});
