import type { Micros } from '../../common/micros.js';

/** What an engine did, and when. */
export type EngineEffect =
  /** It did not run and will not. */
  | {
      readonly type: 'turnedAway';
      readonly at: Micros;
      readonly name: string;
      readonly cause: 'full' | 'oversized' | 'late';
    }
  /** The first token is there; from here on it has run. */
  | { readonly type: 'began'; readonly at: Micros; readonly name: string; readonly version: number }
  | {
      readonly type: 'piece';
      readonly at: Micros;
      readonly name: string;
      readonly piece: number;
      readonly version: number;
    }
  | { readonly type: 'putBack'; readonly at: Micros; readonly name: string }
  | { readonly type: 'done'; readonly at: Micros; readonly name: string }
  /** The budget passed in the middle of the run. */
  | { readonly type: 'overdue'; readonly at: Micros; readonly name: string };
