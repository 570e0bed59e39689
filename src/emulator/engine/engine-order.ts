import type { Micros } from '../../common/micros.js';
import type { OpeningPart } from '../../router/opaque/opening-part.js';

/** What an engine is asked to do. */
export type EngineOrder = {
  readonly name: string;
  /** The parts of the prompt in order; they may cover less than all of it. */
  readonly opening: readonly OpeningPart[];
  readonly readTokens: number;
  readonly writeTokens: number;
  /** The first piece that is wanted. */
  readonly fromPiece: number;
  /** From 0, the most urgent, to 9. */
  readonly urgency: number;
  readonly dueUs: Micros;
};
