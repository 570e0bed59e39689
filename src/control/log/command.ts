import type { Micros } from '../../common/micros.js';
import type { Original } from '../../setup/document/original.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Member } from '../members/member.js';

/** What a log entry does to the replicated state once it is committed. */
export type Command =
  /**
   * The no-op that a new leader appends: only an entry of its own term can be committed by counting replicas (Raft).
   */
  | { readonly type: 'start-term' }
  /** A membership change; it takes effect as soon as it is in the log, before it is committed. */
  | { readonly type: 'members'; readonly members: readonly Member[] }
  /** Proposes a setup: the configuration of the fleet, with its services, tiers and rules. */
  | {
      readonly type: 'setup';
      readonly proposal: string;
      /** The revision that must still be the current one for the proposal to be committed; 0 where there is none. */
      readonly expected: number;
      readonly setup: Setup;
      /**
       * The operator's own document. If present, its version decides, and `expected` is the version that it replaces.
       */
      readonly original?: Original;
      readonly atUs: Micros;
    }
  /** Cancels a proposal: if it is not decided yet, it can never be committed. */
  | { readonly type: 'void'; readonly proposal: string }
  /** Restores a setup that nodes of the fleet still hold after the core has lost all its disks. */
  | { readonly type: 'restore'; readonly record: SetupRecord }
  /** Claims an idempotency key for one exchange, so that no other exchange runs under it. */
  | { readonly type: 'claim'; readonly key: string; readonly exchange: string; readonly atUs: Micros }
  /** Releases a key; an empty `exchange` only drops the expired claims in the key's bucket. */
  | { readonly type: 'release'; readonly key: string; readonly exchange: string; readonly atUs: Micros };
