import type { Clock } from '../common/clock/clock.js';
import { callEvery } from '../common/clock/every.js';
import type { Micros } from '../common/micros.js';
import type { Counters } from './counters.js';
import type { Log } from './log.js';

/** Tells in the log what has failed since it last did, so that a failed request can be explained afterwards. */
export type FailureReport = {
  /** Tells what is left to tell, and ends. */
  readonly close: () => void;
};

/** Counters whose growth is a failure of a request, a call or a connection, or a broken promise. */
const failureCounters = [
  'refused.',
  'unknown.',
  'exchanges.abandoned',
  'streams.brokenOff',
  'tries.failed.',
  'links.refused',
  'promises.broken.',
  'freezes',
  'list.read.',
  'http.',
  'frames.bad',
  'operator.refused.',
  'operator.unknown.',
  'exceptions.',
] as const;

/** At most one line in so long, and none while nothing fails. */
export const reportIntervalUs: Micros = 5_000_000;

const isFailure = (name: string): boolean => failureCounters.some((prefix) => name.startsWith(prefix));

type Counts = ReadonlyMap<string, number>;

const failuresIn = (counters: Counters): Counts =>
  new Map(Object.entries(counters.read()).filter(([name]) => isFailure(name)));

const growthOf = (former: Counts, present: Counts): Readonly<Record<string, number>> =>
  Object.fromEntries(
    [...present].flatMap(([name, count]) => {
      const growth = count - (former.get(name) ?? 0);
      return growth > 0 ? [[name, growth] as const] : [];
    }),
  );

/** Opens the report; `state` tells what the process knew and did when it is asked. */
export const openFailureReport = (
  clock: Clock,
  log: Log,
  counters: Counters,
  state: () => Readonly<Record<string, unknown>>,
): FailureReport => {
  let told = failuresIn(counters);
  const tell = (): void => {
    const present = failuresIn(counters);
    const failures = growthOf(told, present);
    told = present;
    if (Object.keys(failures).length > 0) log.change('failures', { failures, ...state() });
  };
  const endReports = callEvery(clock, reportIntervalUs, tell);
  return {
    close: () => {
      endReports();
      tell();
    },
  };
};
