import type { Micros } from '../../common/micros.js';

/** One event of an exchange: `what` is its kind, `facts` its attributes. */
export type TraceStep = {
  readonly at: Micros;
  readonly what: string;
  readonly facts: object;
};

/** The routing decisions and results of one exchange in order, under the revisions that applied when it was accepted. */
export type ExchangeTrace = {
  readonly exchange: string;
  readonly kind: string;
  readonly tier: string;
  readonly service: string;
  readonly setupRevision: number;
  readonly listVersion: number;
  readonly steps: readonly TraceStep[];
};
