import type { Micros } from '../../common/micros.js';
import type { Original } from '../../setup/document/original.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Member } from '../members/member.js';

/** What an entry of the log pendingRequests for. */
export type Command =
  | { readonly type: 'start-term' }
  | { readonly type: 'members'; readonly members: readonly Member[] }
  | {
      readonly type: 'setup';
      readonly proposal: string;
      /** The revision that must still be the newest; 0 for none. */
      readonly expected: number;
      readonly setup: Setup;
      /** Where it is there, its version decides the race, and `expected` is the version it builds on. */
      readonly original?: Original;
      readonly atUs: Micros;
    }
  /** Ends the doubt about a proposal: unless it is decided by then, it never will be taken. */
  | { readonly type: 'void'; readonly proposal: string }
  /** A setup that nodes hold and that the core has lost together with all its disks. */
  | { readonly type: 'restore'; readonly record: SetupRecord }
  | { readonly type: 'claim'; readonly key: string; readonly exchange: string; readonly atUs: Micros }
  | { readonly type: 'release'; readonly key: string; readonly exchange: string; readonly atUs: Micros };
