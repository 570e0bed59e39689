import { lowerBoundAt, type ClockLowerBound } from '../../../common/clock/time-bound.js';
import type { Micros } from '../../../common/micros.js';
import { emptyMap, emptyOrderedMap, type PersistentMap } from '../../../common/persistent-map.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { ServerList } from '../../../servers/list/server-list.js';
import type { SetupRecord } from '../../../setup/document/setup-record.js';
import type { Flight, FlightKey } from '../../flight/flight.js';
import type { ServerFailures } from '../../health/server-failures.js';
import type { ServerLoads } from '../../health/server-load.js';
import { emptyHotness, type Hotness } from '../../hotness/hotness.js';
import { greatestCount, type RouterCounts } from '../../retry/router-counts.js';
import { defaultPolicy, type DecisionPolicy } from '../../policy.js';
import { emptyPace, type Pace } from '../../pace/pace.js';
import type { AttemptWindow } from '../../retry/attempt-window.js';
import type { Prefix } from '../../ring/prefix.js';
import type { Topology } from '../../topology/topology.js';
import type { PrefillEndTimes } from '../../work/prefill-estimate.js';
import type { ExchangeView } from './exchange-view.js';

/** The immutable state of the decision machine: what one router has learned and decided so far. */
export type DecisionView = {
  /** The monotonic time of the latest event. */
  readonly atUs: Micros;
  readonly startedUs: Micros | undefined;
  /** Offset of this node's pace slots from the beginning of a migration, as a fraction of a slot. */
  readonly slotOffset: number;
  /** A lower bound of the platform time. */
  readonly platform: ClockLowerBound | undefined;
  /** The latest replicated configuration. */
  readonly record: SetupRecord | undefined;
  /** Recent counts of the routers in the fleet, with the time until which each holds. */
  readonly routerCounts: RouterCounts;
  readonly list: ServerList | undefined;
  readonly topology: Topology;
  /** Servers with a booking that have not entered the ring. */
  readonly joining: ReadonlyMap<ServerKey, { readonly service: string; readonly entryUs: Micros }>;
  readonly hotness: Hotness;
  /** The prefixes that each server has prefilled for this node, and when it last did. */
  readonly cachedPrefixes: PersistentMap<ServerKey, PersistentMap<Prefix, Micros>>;
  readonly pace: Pace;
  readonly flights: PersistentMap<FlightKey, Flight>;
  /** The exchanges in progress, in order of arrival. */
  readonly exchanges: PersistentMap<string, ExchangeView>;
  /** No exchange has a deadline before this time. */
  readonly wakeUs: Micros;
  readonly prefillEndTimes: PrefillEndTimes;
  /** Measured prefill rate by service, in tokens per second and server. */
  readonly prefillRates: PersistentMap<string, number>;
  /** Number of exchanges that this node has in progress at each server. */
  readonly pressure: PersistentMap<ServerKey, number>;
  /** The pressure by service, summed over the servers of its ring. */
  readonly ringPressure: ReadonlyMap<string, number>;
  /** Servers to which no connection can be opened. */
  readonly dark: ReadonlySet<ServerKey>;
  /** Failure scores from this and other routers. */
  readonly failures: ServerFailures;
  /** The latest load reports of the servers, to this and other routers. */
  readonly loads: ServerLoads;
  /** Recent attempts by service, for the retry budget. */
  readonly tries: PersistentMap<string, AttemptWindow>;
  /** Whether new exchanges are refused. */
  readonly draining: boolean;
  /** Whether no attempt begins any more, since this node is about to end. */
  readonly startsNoAttempts: boolean;
  /** Which parts of the decision are on; it never changes. */
  readonly policy: DecisionPolicy;
};

export const initialDecisionView: DecisionView = {
  atUs: 0,
  startedUs: undefined,
  slotOffset: 0,
  platform: undefined,
  record: undefined,
  routerCounts: [],
  list: undefined,
  topology: { services: new Map(), nextChangeUs: Number.POSITIVE_INFINITY },
  joining: new Map(),
  hotness: emptyHotness,
  cachedPrefixes: emptyMap(),
  pace: emptyPace,
  flights: emptyMap(),
  exchanges: emptyOrderedMap(),
  wakeUs: Number.POSITIVE_INFINITY,
  prefillEndTimes: emptyMap(),
  prefillRates: emptyMap(),
  pressure: emptyMap(),
  ringPressure: new Map(),
  dark: new Set(),
  failures: emptyMap(),
  loads: emptyMap(),
  tries: emptyMap(),
  draining: false,
  startsNoAttempts: false,
  policy: defaultPolicy,
};

/** The lower bound of the platform time at `view.atUs`; the monotonic time itself before any was received. */
export const platformUsOf = (view: DecisionView): Micros =>
  view.platform === undefined ? view.atUs : lowerBoundAt(view.platform, view.atUs);

/** The number of routers that share fleet-wide limits: configured, else counted; infinite before the first count. */
export const routersOf = (view: DecisionView): number =>
  view.record?.setup.fleet?.routers ?? greatestCount(view.routerCounts, view.atUs) ?? Number.POSITIVE_INFINITY;
