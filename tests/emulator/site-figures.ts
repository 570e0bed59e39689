import type { EngineFigures } from '../../src/emulator/engine/engine-figures.js';
import type { EngineOrder } from '../../src/emulator/engine/engine-order.js';

/** An engine as the plate archive's sheet has it. */
export const archiveEngine: EngineFigures = {
  slots: 64,
  queue: 192,
  stepUs: 2_890,
  perRunningUs: 101,
  contextUsPerThousand: 1.28,
  readTokensPerMs: 55,
  pairsUsPerMillion: 165,
  entryUs: 15_000,
  chunk: 2_048,
  block: 16,
  stride: 7,
  memoryTokens: 489_039,
};

export const orderOf = (name: string, more: Partial<EngineOrder> = {}): EngineOrder => ({
  name,
  opening: [],
  readTokens: 100,
  writeTokens: 70,
  fromPiece: 0,
  urgency: 5,
  dueUs: 60_000_000,
  ...more,
});
