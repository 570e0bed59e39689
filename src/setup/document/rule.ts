import type { Micros } from '../../common/micros.js';

/** What is to be done with exchanges of one kind. */
export type Rule = {
  readonly kind: string;
  readonly service: string;
  readonly tier: string;
  /** Whether the work may run again after a try whose outcome is unknown. */
  readonly repeatable: boolean;
  /** Whether a broken stream may go on at its next piece on another server. */
  readonly resumable: boolean;
  readonly budgetUs: Micros;
  /** How long a first piece may take before a repeatable exchange is tried elsewhere. */
  readonly firstPieceUs: Micros;
  /** How long a stream may be silent between two pieces before its server counts as lost to it. */
  readonly silenceUs: Micros;
};
