import type { CallEnd } from '../../rehearsal/history/call-record.js';

/** One call to a router, and how its caller hears of it. */
export type SimCall = {
  readonly work: string;
  readonly call: string;
  readonly kind: string;
  readonly key: string | undefined;
  readonly opening: string;
  readonly pieces: number;
  readonly hearPiece: (text: string) => void;
  readonly hearEnd: (end: CallEnd, error: string | undefined, retryAfter: string | undefined) => void;
};
