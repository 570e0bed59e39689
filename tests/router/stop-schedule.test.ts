import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { stopScheduleOf } from '../../src/process/router/stop-schedule.js';

const second = 1_000_000;

const counts = [0, 1, 40, 600, 100_000];

test('a stop answers and ends before its process is killed, however long it has and however many requests wait', () => {
  for (const graceUs of [second / 2, second, 3 * second, 8 * second, 20 * second, 3_600 * second])
    for (const unanswered of counts) {
      const { acceptUntilUs, answerAtUs, endAtUs } = stopScheduleOf(graceUs);
      const label = `${graceUs}, ${unanswered}`;
      assert.ok(0 < acceptUntilUs && acceptUntilUs < answerAtUs(unanswered), label);
      assert.ok(answerAtUs(unanswered) < endAtUs && endAtUs < graceUs, label);
      assert.ok(answerAtUs(unanswered) >= graceUs / 2, `${label}: requests have less than half of the time`);
    }
});

test('a long stop leaves requests all but the time that their final answers take', () => {
  const { answerAtUs, endAtUs } = stopScheduleOf(20 * second);
  assert.ok(answerAtUs(10) >= 19 * second);
  assert.ok(endAtUs - answerAtUs(600) >= 1.5 * second);
  assert.ok(endAtUs >= 19.5 * second);
});

test.run();
