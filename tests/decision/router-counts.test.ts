import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRandom } from '../../src/common/random.js';
import { canRetry } from '../../src/decision/retry/retry-budget.js';
import { withRouterCount, greatestCount, type RouterCounts } from '../../src/decision/retry/router-counts.js';
import { withAttempt, windowUs, type AttemptWindow } from '../../src/decision/retry/attempt-window.js';

const second = 1_000_000;

test('a greater count keeps holding for a while after a lower one, and a greater new one holds at once', () => {
  let counts: RouterCounts = withRouterCount([], 40, 0);
  counts = withRouterCount(counts, 10, 5 * second);
  assert.is(greatestCount(counts, 6 * second), 40);
  assert.is(greatestCount(counts, 26 * second), 10);
  assert.is(greatestCount(withRouterCount(counts, 60, 7 * second), 7 * second), 60);
  assert.is(greatestCount([], 0), undefined);
});

test('while nodes fail and join, the retries of the fleet stay within the budget of every window', () => {
  const fraction = 0.2;
  const fleetExtra = 52;
  for (let seed = 1; seed <= 5; seed += 1) {
    const chance = seededRandom(seed);
    type Node = { counts: RouterCounts; tries: AttemptWindow; endUs: number; startUs: number };
    const nodes: Node[] = Array.from({ length: 40 }, (_, index) => ({
      counts: [],
      tries: [],
      startUs: index < 30 ? -windowUs : 40 * second,
      endUs: index < 15 ? 20 * second : 90 * second,
    }));
    const aliveCountAt = (atUs: number): number =>
      nodes.filter(({ startUs, endUs }) => atUs >= startUs && atUs < endUs).length;
    const attempts: { atUs: number; isExtra: boolean }[] = [];
    for (let atUs = 0; atUs < 90 * second; atUs += 100_000)
      for (const node of nodes) {
        if (atUs < node.startUs || atUs >= node.endUs) continue;
        /** Each node learns of a change up to eight seconds late, and starts with no share of the constant. */
        if (chance() < 0.1)
          node.counts = withRouterCount(node.counts, Math.max(1, aliveCountAt(atUs - chance() * 8 * second)), atUs);
        if (chance() < 0.2) {
          node.tries = withAttempt(node.tries, atUs, false);
          attempts.push({ atUs, isExtra: false });
        }
        const constant =
          atUs < node.startUs + windowUs
            ? 0
            : fleetExtra / (greatestCount(node.counts, atUs) ?? Number.POSITIVE_INFINITY);
        if (!canRetry(node.tries, atUs, { fraction, constant })) continue;
        node.tries = withAttempt(node.tries, atUs, true);
        attempts.push({ atUs, isExtra: true });
      }
    for (let fromUs = 0; fromUs <= 80 * second; fromUs += 500_000) {
      const within = attempts.filter(({ atUs }) => atUs >= fromUs && atUs < fromUs + windowUs);
      const retries = within.filter(({ isExtra }) => isExtra).length;
      const firstAttempts = within.length - retries;
      assert.ok(
        retries <= firstAttempts * fraction + fleetExtra,
        `seed ${seed}, window from ${fromUs} us: ${retries} retries for ${firstAttempts} first attempts`,
      );
    }
  }
});

test.run();
