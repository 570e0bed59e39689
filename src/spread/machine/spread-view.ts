import type { TimeBound } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import type { AskedList } from '../../servers/list/asked-list.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { ReadMark } from '../../servers/source/read-mark.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { KnownPartner } from '../partner/known-partner.js';
import type { Partner } from '../partner/partner.js';

/** What one process knows of setup, list, time and partners. */
export type SpreadView = {
  readonly self: Partner;
  readonly seeds: readonly string[];
  readonly atUs: Micros;
  readonly record: SetupRecord | undefined;
  readonly list: ServerList | AskedList | undefined;
  /** Asked lists that held just before, the last one first; who has one of them is sent only the difference. */
  readonly formerLists: readonly AskedList[];
  /** The freshest whole reading known, and the own last one. */
  readonly read: ReadMark | undefined;
  readonly ownRead: ReadMark | undefined;
  /** The platform's time as far as it is certain. */
  readonly platform: TimeBound | undefined;
  readonly partners: ReadonlyMap<string, KnownPartner>;
  readonly digestUs: Micros;
  readonly digests: number;
  readonly heardUs: Micros;
  /** When a partner was last asked for news, and up to which revision and version. */
  readonly asked: { readonly atUs: Micros; readonly revision: number; readonly version: number };
  readonly isolated: boolean;
  readonly inquiry: number;
  readonly refreshing: boolean;
};

export const startSpreadView = (self: Partner, seeds: readonly string[]): SpreadView => ({
  self,
  seeds,
  atUs: 0,
  record: undefined,
  list: undefined,
  formerLists: [],
  read: undefined,
  ownRead: undefined,
  platform: undefined,
  partners: new Map(),
  digestUs: 0,
  digests: 0,
  heardUs: Number.NEGATIVE_INFINITY,
  asked: { atUs: Number.NEGATIVE_INFINITY, revision: 0, version: 0 },
  isolated: true,
  inquiry: 0,
  refreshing: false,
});
