import type { CallEnd } from '../../rehearsal/history/call-record.js';
import type { Call } from '../../rehearsal/stand-in/caller.js';

/** One call to a router, and how its caller hears of it. */
export type SimCall = Omit<Call, 'isModel'> & {
  readonly hearPiece: (text: string) => void;
  readonly hearEnd: (end: CallEnd, error: string | undefined, retryAfter: string | undefined) => void;
};
