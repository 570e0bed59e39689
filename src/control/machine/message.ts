import type { ControlImage } from '../log/control-image.js';
import type { LogEntry } from '../log/log-entry.js';

/** What core machines say to each other. */
export type ControlMessage =
  | {
      readonly type: 'hello';
      readonly identity: string;
      readonly address: string;
      readonly founded: boolean;
      readonly offer?: string;
    }
  | {
      readonly type: 'helloBack';
      readonly identity: string;
      readonly address: string;
      readonly founded: boolean;
      readonly offer?: string;
    }
  | { readonly type: 'join'; readonly identity: string; readonly address: string }
  | { readonly type: 'preVote'; readonly term: number; readonly lastIndex: number; readonly lastTerm: number }
  | { readonly type: 'preVoteBack'; readonly term: number; readonly granted: boolean; readonly forTerm: number }
  | { readonly type: 'vote'; readonly term: number; readonly lastIndex: number; readonly lastTerm: number }
  | { readonly type: 'voteBack'; readonly term: number; readonly granted: boolean }
  | {
      readonly type: 'append';
      readonly term: number;
      readonly previousIndex: number;
      readonly previousTerm: number;
      readonly entries: readonly LogEntry[];
      readonly commit: number;
      readonly round: number;
    }
  | {
      readonly type: 'appendBack';
      readonly term: number;
      readonly matches: boolean;
      /** The last index that holds, or the furthest that could. */
      readonly index: number;
      readonly round: number;
    }
  | { readonly type: 'install'; readonly term: number; readonly image: ControlImage; readonly round: number }
  | { readonly type: 'takeOver'; readonly term: number };
