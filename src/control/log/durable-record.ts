import type { Snapshot } from './snapshot.js';
import type { LogEntry } from './log-entry.js';

/** What the control machine keeps on disk; it speaks of nothing before that is synced. */
export type DurableRecord =
  /** `founds` says whether the disk was empty when a core was to be founded; true where it is not told. */
  | { readonly type: 'identity'; readonly identity: string; readonly founds?: boolean }
  | { readonly type: 'offer'; readonly offer: string }
  | { readonly type: 'vote'; readonly term: number; readonly votedFor?: string }
  /** Entries from the first one's index on; whatever stood there before is gone. */
  | { readonly type: 'entries'; readonly entries: readonly LogEntry[] }
  | { readonly type: 'snapshot'; readonly snapshot: Snapshot };
