import { createHistogram } from 'node:perf_hooks';
import type { Clock } from '../common/clock/clock.js';
import { callEvery } from '../common/clock/every.js';
import type { Micros } from '../common/micros.js';
import type { Counters } from './counters.js';

/** Measures by how much a periodic timer is late, so that a blocked event loop can be recognised afterwards. */
export type LoopDelay = {
  /** The longest delay since the previous call. */
  readonly takeLongestUs: () => Micros;
  readonly close: () => void;
};

/** The sampling interval; delays that fall between two samples may be missed. */
export const loopSampleIntervalUs: Micros = 100_000;
/** The range of the histogram: it accepts no zero, and a longer delay counts as the maximum. */
const minDelayUs: Micros = 1;
const maxDelayUs: Micros = 600_000_000;
const significantDigits = 2;

/** Starts sampling; the gauges `loop.delayUs.*` cover all samples since then. */
export const openLoopDelay = (clock: Clock, counters: Counters): LoopDelay => {
  const histogram = createHistogram({ lowest: minDelayUs, highest: maxDelayUs, figures: significantDigits });
  let sampledUs = clock.now();
  let longestUs: Micros = 0;
  const stopSampling = callEvery(clock, loopSampleIntervalUs, () => {
    const nowUs = clock.now();
    const delayUs = Math.min(maxDelayUs, Math.max(minDelayUs, nowUs - sampledUs - loopSampleIntervalUs));
    sampledUs = nowUs;
    longestUs = Math.max(longestUs, delayUs);
    histogram.record(delayUs);
  });
  counters.gauge('loop.delayUs.mean', () => (histogram.count === 0 ? 0 : Math.round(histogram.mean)));
  counters.gauge('loop.delayUs.p99', () => histogram.percentile(99));
  counters.gauge('loop.delayUs.max', () => histogram.max);
  return {
    takeLongestUs: () => {
      const previousLongestUs = longestUs;
      longestUs = 0;
      return previousLongestUs;
    },
    close: stopSampling,
  };
};
