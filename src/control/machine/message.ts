import type { LogEntry } from '../log/log-entry.js';

/** What core machines say to each other. */
export type ControlMessage =
  | {
      readonly type: 'probe';
      readonly identity: string;
      readonly address: string;
      readonly founded: boolean;
      /** Whether it may found a core; one that may not can still be named as a member of it. */
      readonly founds: boolean;
      /** Names the question, so that a reply to an older one does not count. */
      readonly nonce: string;
      readonly offer?: string;
    }
  | {
      readonly type: 'probeReply';
      readonly identity: string;
      readonly address: string;
      readonly founded: boolean;
      readonly founds: boolean;
      readonly nonce: string;
      readonly offer?: string;
    }
  | { readonly type: 'join'; readonly identity: string; readonly address: string }
  /** A voter that is about to stop tells the leader. */
  | { readonly type: 'leave'; readonly identity: string }
  /** A leader's question to an address: which identity lives there now? */
  | { readonly type: 'identify'; readonly nonce: string }
  | { readonly type: 'identified'; readonly nonce: string; readonly identity: string; readonly address: string }
  | { readonly type: 'preVote'; readonly term: number; readonly lastIndex: number; readonly lastTerm: number }
  | { readonly type: 'preVoteReply'; readonly term: number; readonly granted: boolean; readonly forTerm: number }
  | { readonly type: 'vote'; readonly term: number; readonly lastIndex: number; readonly lastTerm: number }
  | { readonly type: 'voteReply'; readonly term: number; readonly granted: boolean }
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
      readonly type: 'appendReply';
      readonly term: number;
      readonly matches: boolean;
      /** The last index that holds, or the furthest that could. */
      readonly index: number;
      readonly round: number;
    }
  /** One piece of an encoded snapshot; `total` and `digest` are of the whole. */
  | {
      readonly type: 'installSnapshot';
      readonly term: number;
      readonly snapshotIndex: number;
      readonly snapshotTerm: number;
      readonly offset: number;
      readonly total: number;
      readonly digest: string;
      readonly piece: string;
      readonly round: number;
    }
  /** Acknowledges how much of a snapshot is there without a gap, in reply to the piece at `offset`. */
  | {
      readonly type: 'installSnapshotReply';
      readonly term: number;
      readonly snapshotIndex: number;
      readonly offset: number;
      readonly received: number;
      readonly round: number;
    }
  | { readonly type: 'timeoutNow'; readonly term: number };
