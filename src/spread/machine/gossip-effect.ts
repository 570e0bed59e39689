import type { Micros } from '../../common/micros.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { GossipFrame } from './gossip-event.js';

/** An action or a notification that a step of the gossip state machine requests. */
export type GossipEffect =
  | { readonly type: 'send'; readonly address: string; readonly frame: GossipFrame }
  | { readonly type: 'setup'; readonly record: SetupRecord }
  /** A new server list for routing, without servers that are gone. */
  | { readonly type: 'list'; readonly list: ServerList }
  /** Another node has a complete reading of the platform's list, which began `ageUs` ago. */
  | { readonly type: 'read'; readonly by: string; readonly ageUs: Micros }
  /** The lower bound of the platform's time has risen. */
  | { readonly type: 'time'; readonly platformUs: Micros }
  /** Peers have joined, left or changed their description. */
  | { readonly type: 'partners' }
  /** The number of live routers, and of lost ones, which may still be alive on the other side of a partition. */
  | { readonly type: 'routers'; readonly routers: number; readonly lost: number }
  /** Whether no frame from any peer has arrived within the isolation timeout. */
  | { readonly type: 'isolated'; readonly isolated: boolean }
  /** A refresh is complete: a peer has confirmed that it holds nothing newer. */
  | { readonly type: 'refreshed' };
