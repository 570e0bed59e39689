import { boundAt, type TimeBound } from '../../../common/clock/time-bound.js';
import type { Micros } from '../../../common/micros.js';
import { emptyMap, emptyOrderedMap, type PersistentMap } from '../../../common/persistent-map.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { ServerList } from '../../../servers/list/server-list.js';
import type { SetupRecord } from '../../../setup/document/setup-record.js';
import type { Flight, FlightKey } from '../../flight/flight.js';
import type { ServerFailures } from '../../health/server-failures.js';
import type { ServerLoads } from '../../health/server-load.js';
import { emptyHotness, type Hotness } from '../../hotness/hotness.js';
import { mostCounted, type RouterCounts } from '../../retry/router-counts.js';
import { usualPolicy, type DecisionPolicy } from '../../policy.js';
import { emptyPace, type Pace } from '../../pace/pace.js';
import type { Tries } from '../../retry/tries.js';
import type { Prefix } from '../../ring/prefix.js';
import type { Stage } from '../../timeline/stage.js';
import type { Busy } from '../../work/busy.js';
import type { ExchangeView } from './exchange-view.js';

/** The whole view of the decision machine. */
export type DecisionView = {
  readonly atUs: Micros;
  readonly startedUs: Micros | undefined;
  /** How far this node's slots lie behind the beginning of a migration, in parts of a slot. */
  readonly phase: number;
  /** The platform's time as far as it is certain. */
  readonly platform: TimeBound | undefined;
  readonly record: SetupRecord | undefined;
  /** How many routers were counted, by when; the last of each window that is still of concern. */
  readonly counts: RouterCounts;
  readonly list: ServerList | undefined;
  readonly stage: Stage;
  readonly joining: ReadonlyMap<ServerKey, { readonly service: string; readonly entryUs: Micros }>;
  readonly hotness: Hotness;
  readonly warmth: PersistentMap<ServerKey, PersistentMap<Prefix, Micros>>;
  readonly pace: Pace;
  readonly flights: PersistentMap<FlightKey, Flight>;
  /** In the order in which they came. */
  readonly exchanges: PersistentMap<string, ExchangeView>;
  /** No exchange has anything to do by itself before this moment. */
  readonly wakeUs: Micros;
  readonly busy: Busy;
  /** Tokens a second that a server of each service has been seen to read. */
  readonly rates: PersistentMap<string, number>;
  readonly pressure: PersistentMap<ServerKey, number>;
  /** The sum of the pressure on the servers in each service's ring. */
  readonly ringPressure: ReadonlyMap<string, number>;
  readonly dark: ReadonlySet<ServerKey>;
  /** Failures of servers, here and at other routers. */
  readonly failures: ServerFailures;
  /** What servers have told of their load, here and to other routers. */
  readonly loads: ServerLoads;
  readonly tries: PersistentMap<string, Tries>;
  readonly draining: boolean;
  /** Which parts of the decision are on; it never changes. */
  readonly policy: DecisionPolicy;
};

export const startDecisionView: DecisionView = {
  atUs: 0,
  startedUs: undefined,
  phase: 0,
  platform: undefined,
  record: undefined,
  counts: [],
  list: undefined,
  stage: { services: new Map(), nextChangeUs: Number.POSITIVE_INFINITY },
  joining: new Map(),
  hotness: emptyHotness,
  warmth: emptyMap(),
  pace: emptyPace,
  flights: emptyMap(),
  exchanges: emptyOrderedMap(),
  wakeUs: Number.POSITIVE_INFINITY,
  busy: emptyMap(),
  rates: emptyMap(),
  pressure: emptyMap(),
  ringPressure: new Map(),
  dark: new Set(),
  failures: emptyMap(),
  loads: emptyMap(),
  tries: emptyMap(),
  draining: false,
  policy: usualPolicy,
};

/** The platform's time at this view's moment. */
export const platformUsOf = (view: DecisionView): Micros =>
  view.platform === undefined ? view.atUs : boundAt(view.platform, view.atUs);

/** How many routers share what the fleet allows: as the setup says, or as many as were counted; without end before any count. */
export const routersOf = (view: DecisionView): number =>
  view.record?.setup.fleet?.routers ?? mostCounted(view.counts, view.atUs) ?? Number.POSITIVE_INFINITY;
