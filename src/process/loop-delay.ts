import { createHistogram } from 'node:perf_hooks';
import type { Clock } from '../common/clock/clock.js';
import { callEvery } from '../common/clock/every.js';
import type { Micros } from '../common/micros.js';
import type { Counters } from './counters.js';

/** Tells for how long the event loop of the process was held, so that a pause can be told afterwards. */
export type LoopDelay = {
  /** The longest delay since this was last asked. */
  readonly takeLongestUs: () => Micros;
  readonly close: () => void;
};

/** How often it is looked; shorter delays between two looks may be missed. */
export const loopSampleIntervalUs: Micros = 100_000;
/** What the histogram can hold: it takes no zero, and longer delays count as the longest one. */
const leastUs: Micros = 1;
const mostUs: Micros = 600_000_000;
const significantDigits = 2;

/** Counts the delays of the looks as `loop.delayUs.*`, from the start of the process. */
export const openLoopDelay = (clock: Clock, counters: Counters): LoopDelay => {
  const histogram = createHistogram({ lowest: leastUs, highest: mostUs, figures: significantDigits });
  let lookedUs = clock.now();
  let longestUs: Micros = 0;
  const endLooks = callEvery(clock, loopSampleIntervalUs, () => {
    const nowUs = clock.now();
    const delayUs = Math.min(mostUs, Math.max(leastUs, nowUs - lookedUs - loopSampleIntervalUs));
    lookedUs = nowUs;
    longestUs = Math.max(longestUs, delayUs);
    histogram.record(delayUs);
  });
  counters.gauge('loop.delayUs.mean', () => (histogram.count === 0 ? 0 : Math.round(histogram.mean)));
  counters.gauge('loop.delayUs.p99', () => histogram.percentile(99));
  counters.gauge('loop.delayUs.max', () => histogram.max);
  return {
    takeLongestUs: () => {
      const takenUs = longestUs;
      longestUs = 0;
      return takenUs;
    },
    close: endLooks,
  };
};
