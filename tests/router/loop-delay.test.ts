import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../../src/common/clock/clock.js';
import type { Micros } from '../../src/common/micros.js';
import { openCounters } from '../../src/process/counters.js';
import { loopLookSpanUs, openLoopDelay } from '../../src/process/loop-delay.js';

/** A clock whose timers fire when the test says, however late. */
const openLateClock = (): Clock & { readonly fireAt: (nowUs: Micros) => void } => {
  let nowUs: Micros = 0;
  let timers: readonly { readonly dueUs: Micros; readonly act: () => void }[] = [];
  return {
    now: () => nowUs,
    after: (span, act) => {
      const timer = { dueUs: nowUs + span, act };
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

// Guards against: a process stood still, and nothing tells so afterwards.
test('a pause of the event loop is told by the counters, and once by what the report takes', () => {
  const clock = openLateClock();
  const counters = openCounters();
  const delay = openLoopDelay(clock, counters);
  clock.fireAt(loopLookSpanUs);
  clock.fireAt(2 * loopLookSpanUs + 7_000_000);
  const { 'loop.delayUs.max': longestUs = 0, 'loop.delayUs.mean': meanUs = 0 } = counters.read();
  assert.ok(longestUs >= 7_000_000 && longestUs < 7_100_000, `${longestUs}`);
  assert.ok(meanUs > 3_000_000 && meanUs < 4_000_000, `${meanUs}`);
  assert.is(delay.takeLongestUs(), 7_000_000);
  assert.is(delay.takeLongestUs(), 0);
  delay.close();
});

test.run();
