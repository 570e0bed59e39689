import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../../src/common/clock/clock.js';
import type { Micros } from '../../src/common/micros.js';
import { openCounters } from '../../src/process/counters.js';
import { loopSampleIntervalUs, openLoopDelay } from '../../src/process/loop-delay.js';

/** A clock whose timers fire only at `fireAt`, so that a test can loopDelay them. */
const openLateClock = (): Clock & { readonly fireAt: (nowUs: Micros) => void } => {
  let nowUs: Micros = 0;
  let timers: readonly { readonly dueUs: Micros; readonly act: () => void }[] = [];
  return {
    now: () => nowUs,
    after: (delayUs, act) => {
      const timer = { dueUs: nowUs + delayUs, act };
      timers = [...timers, timer];
      return () => {
        timers = timers.filter((other) => other !== timer);
      };
    },
    fireAt: (laterUs) => {
      nowUs = laterUs;
      const due = timers.filter(({ dueUs }) => dueUs <= nowUs);
      timers = timers.filter((timer) => !due.includes(timer));
      for (const { act } of due) act();
    },
  };
};

// Guards against a stall of the event loop that leaves no evidence in counters or reports.
test('a stall of the event loop appears in the counters, and once in the value for the report', () => {
  const clock = openLateClock();
  const counters = openCounters();
  const loopDelay = openLoopDelay(clock, counters);
  clock.fireAt(loopSampleIntervalUs);
  clock.fireAt(2 * loopSampleIntervalUs + 7_000_000);
  const { 'loop.delayUs.max': maxUs = 0, 'loop.delayUs.mean': meanUs = 0 } = counters.read();
  assert.ok(maxUs >= 7_000_000 && maxUs < 7_100_000, `${maxUs}`);
  assert.ok(meanUs > 3_000_000 && meanUs < 4_000_000, `${meanUs}`);
  assert.is(loopDelay.takeLongestUs(), 7_000_000);
  assert.is(loopDelay.takeLongestUs(), 0);
  loopDelay.close();
});

test.run();
