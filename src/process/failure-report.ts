import type { Clock } from '../common/clock/clock.js';
import { callEvery } from '../common/clock/every.js';
import type { Micros } from '../common/micros.js';
import type { Counters } from './counters.js';
import type { Log } from './log.js';

/** Logs periodically which failure counters have grown, so that a failed request can be explained afterwards. */
export type FailureReport = {
  /** Logs the failures since the last report and ends. */
  readonly close: () => void;
};

/** Prefixes of the counters that count failed requests, calls and connections, and broken guarantees. */
const failureCounterPrefixes = [
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

/** At most one line is logged per interval, and none while nothing fails. */
export const reportIntervalUs: Micros = 5_000_000;

const isFailure = (name: string): boolean => failureCounterPrefixes.some((prefix) => name.startsWith(prefix));

type Counts = ReadonlyMap<string, number>;

const failuresIn = (counters: Counters): Counts =>
  new Map(Object.entries(counters.read()).filter(([name]) => isFailure(name)));

const growthOf = (previous: Counts, current: Counts): Readonly<Record<string, number>> =>
  Object.fromEntries(
    [...current].flatMap(([name, count]) => {
      const growth = count - (previous.get(name) ?? 0);
      return growth > 0 ? [[name, growth] as const] : [];
    }),
  );

/** Starts the report; each line also contains the fields that `state` returns. */
export const openFailureReport = (
  clock: Clock,
  log: Log,
  counters: Counters,
  state: () => Readonly<Record<string, unknown>>,
): FailureReport => {
  let reported = failuresIn(counters);
  const report = (): void => {
    const current = failuresIn(counters);
    const failures = growthOf(reported, current);
    reported = current;
    if (Object.keys(failures).length > 0) log.change('failures', { failures, ...state() });
  };
  const endReports = callEvery(clock, reportIntervalUs, report);
  return {
    close: () => {
      endReports();
      report();
    },
  };
};
