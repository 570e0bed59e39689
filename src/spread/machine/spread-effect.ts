import type { Micros } from '../../common/micros.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { SpreadFrame } from './spread-event.js';

/** What the spread machine wants done or makes known. */
export type SpreadEffect =
  | { readonly type: 'send'; readonly address: string; readonly frame: SpreadFrame }
  | { readonly type: 'setup'; readonly record: SetupRecord }
  /** The list as decisions see it, without those that are gone. */
  | { readonly type: 'list'; readonly list: ServerList }
  /** A partner told of a whole reading that began so long ago. */
  | { readonly type: 'read'; readonly by: string; readonly ageUs: Micros }
  | { readonly type: 'time'; readonly platformUs: Micros }
  /** Partners came, went or changed. */
  | { readonly type: 'partners' }
  /** How many routers are thought to live, and how many were given up and may yet live elsewhere. */
  | { readonly type: 'routers'; readonly routers: number; readonly lost: number }
  | { readonly type: 'isolated'; readonly isolated: boolean }
  | { readonly type: 'refreshed' };
