import type { ClockLowerBound } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import type { PolledList } from '../../servers/list/polled-list.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { ReadingStamp } from '../../servers/source/reading-stamp.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { LivePeer } from '../peer/live-peer.js';
import type { LostPeer } from '../peer/lost-peer.js';
import type { Peer } from '../peer/peer.js';
import { hashOf } from './random.js';

/** An unanswered probe of a peer. */
export type PendingProbe = { readonly askedUs: Micros; readonly tries: number };

/** The state of the gossip state machine: one process's view of configuration, server list, time and membership. */
export type GossipView = {
  readonly self: Peer;
  readonly seeds: readonly string[];
  readonly atUs: Micros;
  readonly record: SetupRecord | undefined;
  /** Earlier configurations, newest first; a peer that holds one of them receives a delta. */
  readonly formerRecords: readonly SetupRecord[];
  readonly list: ServerList | PolledList | undefined;
  /** Earlier polled lists, newest first; a peer that holds one of them receives only the changed entries. */
  readonly formerLists: readonly PolledList[];
  /** The stamp of the latest complete reading of any node. */
  readonly read: ReadingStamp | undefined;
  /** The stamp of this node's own latest complete reading. */
  readonly ownReading: ReadingStamp | undefined;
  /** A lower bound of the platform's time. */
  readonly platform: ClockLowerBound | undefined;
  /** Live and suspect peers, by address. */
  readonly partners: PersistentMap<string, LivePeer>;
  /** Peers that were declared dead, by address. */
  readonly lost: PersistentMap<string, LostPeer>;
  /** The number of live routers, including this process if it is one. */
  readonly routers: number;
  /** The number of routers among the lost peers. */
  readonly lostRouters: number;
  /** The membership hash: the XOR of a hash per live peer and this process, of address and incarnation. */
  readonly crowd: number;
  /** This process's own incarnation number, as in SWIM. */
  readonly incarnation: number;
  /** Remaining transmissions of recent membership updates, by address. */
  readonly pendingUpdates: PersistentMap<string, number>;
  /** Peers that have confirmed to have this node's description. */
  readonly introduced: ReadonlySet<string>;
  /** Unanswered probes, by address. */
  readonly pendingProbes: PersistentMap<string, PendingProbe>;
  /** The remaining targets of the current round of heartbeats, in random order. */
  readonly round: readonly string[];
  /** The state of the random number generator. */
  readonly randomState: number;
  /** Since when the membership hash has differed from peers'; undefined while it does not. */
  readonly divergedSinceUs: Micros | undefined;
  /** When a full synchronization was last received, or last requested in a large fleet. */
  readonly lastFullSyncUs: Micros;
  /** When staleness of contact and of the reading stamp is next checked. */
  readonly nextStalenessCheckUs: Micros;
  /** When suspects and lost peers were last checked for expiry. */
  readonly lastExpiryCheckUs: Micros;
  /** When the reading began whose stamp was last pushed, on the fleet's time line. */
  readonly lastPushedReadingUs: Micros;
  /** When the next heartbeat is due. */
  readonly nextHeartbeatUs: Micros;
  /** The number of heartbeats sent. */
  readonly heartbeatCount: number;
  /** When a frame last arrived from any peer. */
  readonly lastContactUs: Micros;
  /** When an inquiry was last sent in response to a digest, and the revision and version that it is expected to bring. */
  readonly lastInquiry: { readonly atUs: Micros; readonly revision: number; readonly version: number };
  /** Whether no frame from any peer has arrived within the isolation timeout. */
  readonly isolated: boolean;
  /** The number of the latest refresh, which its inquiries and their responses carry. */
  readonly inquiry: number;
  /** Whether a refresh is in progress. */
  readonly refreshing: boolean;
  /** When the inquiries of a refresh are next repeated. */
  readonly nextInquiryUs: Micros;
};

/** The view of a process that starts: isolated, with its seeds as the only addresses. */
export const initialGossipView = (self: Peer, seeds: readonly string[]): GossipView => ({
  self,
  seeds,
  atUs: 0,
  record: undefined,
  formerRecords: [],
  list: undefined,
  formerLists: [],
  read: undefined,
  ownReading: undefined,
  platform: undefined,
  partners: emptyMap(),
  lost: emptyMap(),
  routers: self.role === 'router' ? 1 : 0,
  lostRouters: 0,
  crowd: hashOf(`${self.address}#0`),
  incarnation: 0,
  pendingUpdates: emptyMap(),
  introduced: new Set(),
  pendingProbes: emptyMap(),
  round: [],
  randomState: hashOf(self.address),
  divergedSinceUs: undefined,
  lastFullSyncUs: Number.NEGATIVE_INFINITY,
  nextStalenessCheckUs: 0,
  lastExpiryCheckUs: 0,
  lastPushedReadingUs: Number.NEGATIVE_INFINITY,
  nextHeartbeatUs: 0,
  heartbeatCount: 0,
  lastContactUs: Number.NEGATIVE_INFINITY,
  lastInquiry: { atUs: Number.NEGATIVE_INFINITY, revision: 0, version: 0 },
  isolated: true,
  inquiry: 0,
  refreshing: false,
  nextInquiryUs: 0,
});
