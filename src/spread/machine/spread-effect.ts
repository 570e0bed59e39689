import type { Micros } from '../../common/micros.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Partner } from '../partner/partner.js';
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
  | { readonly type: 'partners'; readonly partners: readonly Partner[] }
  /** How many routers are thought to live. */
  | { readonly type: 'routers'; readonly routers: number }
  | { readonly type: 'isolated'; readonly isolated: boolean }
  | { readonly type: 'refreshed' };
