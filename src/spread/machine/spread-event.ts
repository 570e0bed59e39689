import type { Micros } from '../../common/micros.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { ListReading } from '../../servers/source/list-reading.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Frame } from '../frame/frame.js';

/** The frames that the spread itself speaks. */
export type SpreadFrame = Extract<Frame, { readonly type: 'digest' | 'inquire' | 'setup' | 'setup-delta' | 'list' }>;

/** What the spread machine hears. */
export type SpreadEvent =
  | { readonly type: 'tick'; readonly at: Micros }
  | { readonly type: 'frame'; readonly at: Micros; readonly from: string; readonly frame: SpreadFrame }
  | { readonly type: 'setup'; readonly at: Micros; readonly record: SetupRecord }
  | { readonly type: 'list'; readonly at: Micros; readonly list: ServerList }
  | { readonly type: 'seeds'; readonly at: Micros; readonly seeds: readonly string[] }
  /** A whole or partial reading of the platform's list; `begunAt` is when it was asked for. */
  | { readonly type: 'reading'; readonly at: Micros; readonly begunAt: Micros; readonly reading: ListReading }
  | { readonly type: 'refresh'; readonly at: Micros };

/** What one node tells another of all it knows, in a few characters each. */
export type Digest = Extract<SpreadFrame, { readonly type: 'digest' }>;
