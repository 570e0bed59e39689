import type { Micros } from '../../common/micros.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { ListReading } from '../../servers/source/list-reading.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Frame } from '../frame/frame.js';

/** The frames of the gossip protocol. */
export type GossipFrame = Extract<Frame, { readonly type: 'digest' | 'inquire' | 'setup' | 'setup-delta' | 'list' }>;

/** An input of the gossip state machine; `at` is monotonic time. */
export type GossipEvent =
  | { readonly type: 'tick'; readonly at: Micros }
  | { readonly type: 'frame'; readonly at: Micros; readonly from: string; readonly frame: GossipFrame }
  | { readonly type: 'setup'; readonly at: Micros; readonly record: SetupRecord }
  | { readonly type: 'list'; readonly at: Micros; readonly list: ServerList }
  | { readonly type: 'seeds'; readonly at: Micros; readonly seeds: readonly string[] }
  /** A complete or partial reading of the platform's list; `begunAt` is when the poll began. */
  | { readonly type: 'reading'; readonly at: Micros; readonly begunAt: Micros; readonly reading: ListReading }
  /** Requests confirmation from a peer that configuration and list are up to date, as after a freeze of the process. */
  | { readonly type: 'refresh'; readonly at: Micros };

/** A summary of a node's state: versions and hashes, and a few membership updates. */
export type Digest = Extract<GossipFrame, { readonly type: 'digest' }>;
