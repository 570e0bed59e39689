import type { LogEntry } from '../log/log-entry.js';

/** The messages between control nodes: bootstrap and joins, and the RPCs of Raft, each with its reply. */
export type ControlMessage =
  | {
      readonly type: 'probe';
      readonly identity: string;
      readonly address: string;
      /** Whether the sender is in a core. */
      readonly founded: boolean;
      /** Whether the sender may bootstrap a core; if not, it can still be a member of one that others bootstrap. */
      readonly founds: boolean;
      /** Relates a reply to its probe; replies with an earlier nonce are ignored. */
      readonly nonce: string;
      /** The members that the sender has agreed to start a core with. */
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
  /** Notifies the leader that a voter is about to stop. */
  | { readonly type: 'leave'; readonly identity: string }
  /** Requests the identity of the node at an address, to validate a join. */
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
      /**
       * The last index that matches the leader's log; after a failed consistency check, the last one that may match.
       */
      readonly index: number;
      readonly round: number;
    }
  /** One piece of an encoded snapshot; `offset` and `total` count characters, `digest` is that of the whole text. */
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
  /** Acknowledges the piece at `offset`; `received` is the length of the text received so far without a gap. */
  | {
      readonly type: 'installSnapshotReply';
      readonly term: number;
      readonly snapshotIndex: number;
      readonly offset: number;
      readonly received: number;
      readonly round: number;
    }
  /** Leadership transfer: the receiver starts an election at once. */
  | { readonly type: 'timeoutNow'; readonly term: number };
