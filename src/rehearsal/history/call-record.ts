import type { Micros } from '../../common/micros.js';

/** How a call ended, as its caller saw it. */
export type CallEnd = 'complete' | 'cut' | 'refused' | 'unknown' | 'repeated' | 'lost' | 'malformed';

/** One call in the history of a caller. */
export type CallRecord = {
  readonly work: string;
  readonly call: string;
  readonly kind: string;
  readonly key: string | undefined;
  readonly node: string;
  readonly exchange: string | undefined;
  readonly startUs: Micros;
  readonly firstPieceUs: Micros | undefined;
  readonly endUs: Micros;
  readonly end: CallEnd;
  readonly status: number;
  readonly pieces: readonly string[];
  readonly wanted: number;
  readonly retryAfter: string | undefined;
  readonly error: string | undefined;
};
