import type { TimeBound } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import type { AskedList } from '../../servers/list/asked-list.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { ReadMark } from '../../servers/source/read-mark.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { KnownPartner } from '../partner/known-partner.js';
import type { LostPartner } from '../partner/lost-partner.js';
import type { Partner } from '../partner/partner.js';
import { drawOf } from './draw.js';

/** A partner that is due to answer. */
export type Awaited = { readonly askedUs: Micros; readonly tries: number };

/** What one process knows of setup, list, time and partners. */
export type SpreadView = {
  readonly self: Partner;
  readonly seeds: readonly string[];
  readonly atUs: Micros;
  readonly record: SetupRecord | undefined;
  /** Configurations that held just before, the last one first; who has one of them is sent only the difference. */
  readonly formerRecords: readonly SetupRecord[];
  readonly list: ServerList | AskedList | undefined;
  /** Asked lists that held just before, the last one first; who has one of them is sent only the difference. */
  readonly formerLists: readonly AskedList[];
  /** The freshest whole reading known, and the own last one. */
  readonly read: ReadMark | undefined;
  readonly ownRead: ReadMark | undefined;
  /** The platform's time as far as it is certain. */
  readonly platform: TimeBound | undefined;
  /** Who is thought to live, by address. */
  readonly partners: PersistentMap<string, KnownPartner>;
  readonly lost: PersistentMap<string, LostPartner>;
  /** How many routers are thought to live, this one among them. */
  readonly routers: number;
  /** How many were given up and are still remembered. */
  readonly lostRouters: number;
  /** What all partners that live are, in one figure; equal where membership is equal. */
  readonly crowd: number;
  /** This process's own incarnation. */
  readonly incarnation: number;
  /** Changes of membership that are still to be handed on, by address: how often. */
  readonly changed: PersistentMap<string, number>;
  /** Who has been told who this is, and has been heard since. */
  readonly introduced: ReadonlySet<string>;
  /** Who is due to answer, since when, and how often it was asked. */
  readonly awaited: PersistentMap<string, Awaited>;
  /** Whom the coming beats go to: each partner once, in an order by chance. */
  readonly round: readonly string[];
  readonly draw: number;
  /** When membership began to differ from that of partners; undefined while it does not. */
  readonly differsUs: Micros | undefined;
  /** When the whole membership last came. */
  readonly wholeUs: Micros;
  readonly uneasyUs: Micros;
  /** When partners were last looked through for some that are overdue. */
  readonly lookedUs: Micros;
  /** Of which moment the last reading is that was handed on at once. */
  readonly pushedReadUs: Micros;
  readonly digestUs: Micros;
  readonly digests: number;
  readonly heardUs: Micros;
  /** When a partner was last asked for news, and up to which revision and version. */
  readonly asked: { readonly atUs: Micros; readonly revision: number; readonly version: number };
  readonly isolated: boolean;
  readonly inquiry: number;
  readonly refreshing: boolean;
  /** When partners are asked once more for what is fresh. */
  readonly askedAgainUs: Micros;
};

export const startSpreadView = (self: Partner, seeds: readonly string[]): SpreadView => ({
  self,
  seeds,
  atUs: 0,
  record: undefined,
  formerRecords: [],
  list: undefined,
  formerLists: [],
  read: undefined,
  ownRead: undefined,
  platform: undefined,
  partners: emptyMap(),
  lost: emptyMap(),
  routers: self.role === 'router' ? 1 : 0,
  lostRouters: 0,
  crowd: drawOf(`${self.address}#0`),
  incarnation: 0,
  changed: emptyMap(),
  introduced: new Set(),
  awaited: emptyMap(),
  round: [],
  draw: drawOf(self.address),
  differsUs: undefined,
  wholeUs: Number.NEGATIVE_INFINITY,
  uneasyUs: 0,
  lookedUs: 0,
  pushedReadUs: Number.NEGATIVE_INFINITY,
  digestUs: 0,
  digests: 0,
  heardUs: Number.NEGATIVE_INFINITY,
  asked: { atUs: Number.NEGATIVE_INFINITY, revision: 0, version: 0 },
  isolated: true,
  inquiry: 0,
  refreshing: false,
  askedAgainUs: 0,
});
