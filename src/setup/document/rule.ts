import type { Micros } from '../../common/micros.js';
import type { Share } from './share.js';

/** What is to be done with exchanges of one kind. */
export type Rule = {
  readonly kind: string;
  readonly service: string;
  /** Several services by weight; the service alone where there is none. */
  readonly split?: readonly Share[];
  /** Where exchanges of this kind are sent to, for callers that name a host and a path and no kind. */
  readonly match?: { readonly host: string; readonly path: string };
  readonly tier: string;
  /** Whether requests need no key, also where the configuration has tenants. */
  readonly public?: boolean;
  /** Whether the work may run again after a try whose outcome is unknown. */
  readonly repeatable: boolean;
  /** Whether a broken stream may go on at its next piece on another server. */
  readonly resumable: boolean;
  /** Whether the receipt is a stream of pieces; where it is not told, the type of the service decides. */
  readonly streams?: boolean;
  /** The most servers that one exchange may go to. */
  readonly mostTries?: number;
  readonly budgetUs: Micros;
  /** Within this time a receipt, or its first piece, is worth most. */
  readonly targetUs?: Micros;
  /** How long a first piece may take before a repeatable exchange is tried elsewhere. */
  readonly firstPieceUs: Micros;
  /** How long a stream may be silent between two pieces before its server counts as lost to it. */
  readonly silenceUs: Micros;
};
