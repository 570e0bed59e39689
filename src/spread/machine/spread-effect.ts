import type { Micros } from '../../common/micros.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Partner } from '../partner/partner.js';
import type { SpreadFrame } from './spread-event.js';

/** What the spread machine wants done or makes known. */
export type SpreadEffect =
  | { readonly type: 'send'; readonly address: string; readonly frame: SpreadFrame }
  | { readonly type: 'setup'; readonly record: SetupRecord }
  | { readonly type: 'list'; readonly list: ServerList }
  | { readonly type: 'time'; readonly platformUs: Micros }
  | { readonly type: 'partners'; readonly partners: readonly Partner[] }
  | { readonly type: 'isolated'; readonly isolated: boolean }
  | { readonly type: 'refreshed' };
