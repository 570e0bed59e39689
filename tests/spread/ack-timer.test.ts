import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  idleAckTimer,
  isAckOverdue,
  ackTimerAfterSend,
  ackIntervalUs,
  type AckTimer,
} from '../../src/spread/link/ack-timer.js';

/** The moment at which a sender times out a receiver that acknowledges until `aliveUntilUs`; undefined if it never does. */
const timeoutAt = (sendTimes: readonly number[], aliveUntilUs: number): number | undefined => {
  let ackTimer: AckTimer = idleAckTimer;
  let lastAckUs = Number.NEGATIVE_INFINITY;
  for (const nowUs of sendTimes) {
    ackTimer = ackTimerAfterSend(ackTimer, nowUs);
    if (isAckOverdue(ackTimer, nowUs)) return nowUs;
    if (nowUs >= aliveUntilUs || nowUs < lastAckUs + ackIntervalUs) continue;
    lastAckUs = nowUs;
    ackTimer = idleAckTimer;
  }
  return undefined;
};

const everyUs = (intervalUs: number, untilUs: number): readonly number[] =>
  Array.from({ length: Math.floor(untilUs / intervalUs) }, (_, index) => index * intervalUs);

test('a receiver that acknowledges is never timed out, whatever the interval between frames', () => {
  for (const intervalUs of [1_000, 25_000, 200_000, 399_999, 700_000, 799_999, 800_001, 1_600_000, 5_000_000])
    assert.is(
      timeoutAt(everyUs(intervalUs, 60_000_000), Number.POSITIVE_INFINITY),
      undefined,
      `every ${intervalUs} us`,
    );
  assert.is(timeoutAt([0, 100_000, 10_000_000, 10_100_000, 30_000_000], Number.POSITIVE_INFINITY), undefined);
});

test('a receiver that stops acknowledging is timed out within two seconds', () => {
  for (const intervalUs of [25_000, 200_000, 400_000]) {
    const timedOutUs = timeoutAt(everyUs(intervalUs, 60_000_000), 5_000_000);
    assert.ok(
      timedOutUs !== undefined && timedOutUs > 6_000_000 && timedOutUs < 7_000_000,
      `every ${intervalUs} us: ${timedOutUs}`,
    );
  }
});

test.run();
