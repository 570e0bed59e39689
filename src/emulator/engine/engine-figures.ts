import type { Micros } from '../../common/micros.js';

/** How an engine behaves. */
export type EngineFigures = {
  /** Runs in one batch. */
  readonly slots: number;
  /** Orders that may wait; any more are turned away. */
  readonly queue: number;
  readonly stepUs: Micros;
  readonly perRunningUs: Micros;
  /** What a thousand tokens of context add to a step. */
  readonly contextUsPerThousand: Micros;
  readonly readTokensPerMs: number;
  /** What a million pairs of a token that is read and one before it add. */
  readonly pairsUsPerMillion: Micros;
  /** From the arrival to the first step that may take the order. */
  readonly entryUs: Micros;
  /** Most prompt tokens that are read within one step. */
  readonly chunk: number;
  /** The least that is read of a prompt that is kept whole. */
  readonly block: number;
  /** Tokens in one piece. */
  readonly stride: number;
  readonly memoryTokens: number;
};
