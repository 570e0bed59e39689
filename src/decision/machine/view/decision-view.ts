import { boundAt, type TimeBound } from '../../../common/clock/time-bound.js';
import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { ServerList } from '../../../servers/list/server-list.js';
import type { SetupRecord } from '../../../setup/document/setup-record.js';
import type { Flight, FlightKey } from '../../flight/flight.js';
import type { Hotness } from '../../hotness/hotness.js';
import type { Pace } from '../../pace/pace.js';
import type { Tries } from '../../retry/tries.js';
import type { Prefix } from '../../ring/prefix.js';
import type { Stage } from '../../timeline/stage.js';
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
  readonly list: ServerList | undefined;
  readonly stage: Stage;
  readonly joining: ReadonlyMap<ServerKey, { readonly service: string; readonly entryUs: Micros }>;
  readonly hotness: Hotness;
  readonly warmth: ReadonlyMap<ServerKey, ReadonlyMap<Prefix, Micros>>;
  readonly pace: Pace;
  readonly flights: ReadonlyMap<FlightKey, Flight>;
  readonly exchanges: ReadonlyMap<string, ExchangeView>;
  readonly pressure: ReadonlyMap<ServerKey, number>;
  readonly dark: ReadonlySet<ServerKey>;
  readonly tries: ReadonlyMap<string, Tries>;
  readonly draining: boolean;
};

export const startDecisionView: DecisionView = {
  atUs: 0,
  startedUs: undefined,
  phase: 0,
  platform: undefined,
  record: undefined,
  list: undefined,
  stage: { services: new Map(), nextChangeUs: Number.POSITIVE_INFINITY },
  joining: new Map(),
  hotness: new Map(),
  warmth: new Map(),
  pace: new Map(),
  flights: new Map(),
  exchanges: new Map(),
  pressure: new Map(),
  dark: new Set(),
  tries: new Map(),
  draining: false,
};

/** The platform's time at this view's moment. */
export const platformUsOf = (view: DecisionView): Micros => (view.platform === undefined ? view.atUs : boundAt(view.platform, view.atUs));
