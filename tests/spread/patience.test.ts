import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  freshPatience,
  isOverdue,
  patienceAfterSend,
  signSpanUs,
  type Patience,
} from '../../src/spread/link/patience.js';

/** Sends at the given moments to a receiver that signs as long as it lives; the moment at which the link is given up. */
const givenUpAt = (moments: readonly number[], livesUntilUs: number): number | undefined => {
  let patience: Patience = freshPatience;
  let signedUs = Number.NEGATIVE_INFINITY;
  for (const nowUs of moments) {
    patience = patienceAfterSend(patience, nowUs);
    if (isOverdue(patience, nowUs)) return nowUs;
    if (nowUs >= livesUntilUs || nowUs < signedUs + signSpanUs) continue;
    signedUs = nowUs;
    patience = freshPatience;
  }
  return undefined;
};

const everyUs = (spanUs: number, untilUs: number): readonly number[] =>
  Array.from({ length: Math.floor(untilUs / spanUs) }, (_, place) => place * spanUs);

test('a living receiver is never given up, however often frames are sent', () => {
  for (const spanUs of [1_000, 25_000, 200_000, 399_999, 700_000, 799_999, 800_001, 1_600_000, 5_000_000])
    assert.is(givenUpAt(everyUs(spanUs, 60_000_000), Number.POSITIVE_INFINITY), undefined, `every ${spanUs} us`);
  assert.is(givenUpAt([0, 100_000, 10_000_000, 10_100_000, 30_000_000], Number.POSITIVE_INFINITY), undefined);
});

test('a receiver that fell silent is given up within two seconds', () => {
  for (const spanUs of [25_000, 200_000, 400_000]) {
    const gaveUpUs = givenUpAt(everyUs(spanUs, 60_000_000), 5_000_000);
    assert.ok(
      gaveUpUs !== undefined && gaveUpUs > 6_000_000 && gaveUpUs < 7_000_000,
      `every ${spanUs} us: ${gaveUpUs}`,
    );
  }
});

test.run();
