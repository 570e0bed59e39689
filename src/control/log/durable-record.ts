import type { Snapshot } from './snapshot.js';
import type { LogEntry } from './log-entry.js';

/** What a replica persists. No message that depends on a record is sent before the record is synced to disk. */
export type DurableRecord =
  /**
   * `founds`: whether the node may bootstrap a core, since its disk was empty when one was to be bootstrapped; true if
   * absent.
   */
  | { readonly type: 'identity'; readonly identity: string; readonly founds?: boolean }
  /** The bootstrap members that a seed has committed itself to. */
  | { readonly type: 'offer'; readonly offer: string }
  | { readonly type: 'vote'; readonly term: number; readonly votedFor?: string }
  /** Replaces the log from the index of the first entry on. */
  | { readonly type: 'entries'; readonly entries: readonly LogEntry[] }
  | { readonly type: 'snapshot'; readonly snapshot: Snapshot };
