import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededChance } from '../../src/common/chance.js';
import { mayTryAgain } from '../../src/decision/retry/retry-budget.js';
import { countsAfter, mostCounted, type RouterCounts } from '../../src/decision/retry/router-counts.js';
import { triesAfter, windowUs, type Tries } from '../../src/decision/retry/tries.js';

const second = 1_000_000;

test('a count that falls goes on to hold, and one that rises holds at once', () => {
  let counts: RouterCounts = countsAfter([], 40, 0);
  counts = countsAfter(counts, 10, 5 * second);
  assert.is(mostCounted(counts, 6 * second), 40);
  assert.is(mostCounted(counts, 26 * second), 10);
  assert.is(mostCounted(countsAfter(counts, 60, 7 * second), 7 * second), 60);
  assert.is(mostCounted([], 0), undefined);
});

test('while nodes are lost and come, extra tries of all together stay within the bound of every window', () => {
  const fraction = 0.2;
  const fleetExtra = 52;
  for (let seed = 1; seed <= 5; seed += 1) {
    const chance = seededChance(seed);
    type Node = { counts: RouterCounts; tries: Tries; endsUs: number; beginsUs: number };
    const nodes: Node[] = Array.from({ length: 40 }, (_, place) => ({
      counts: [],
      tries: [],
      beginsUs: place < 30 ? -windowUs : 40 * second,
      endsUs: place < 15 ? 20 * second : 90 * second,
    }));
    const livingAt = (atUs: number): number =>
      nodes.filter(({ beginsUs, endsUs }) => atUs >= beginsUs && atUs < endsUs).length;
    const told: { atUs: number; isExtra: boolean }[] = [];
    for (let atUs = 0; atUs < 90 * second; atUs += 100_000)
      for (const node of nodes) {
        if (atUs < node.beginsUs || atUs >= node.endsUs) continue;
        /** Each learns of a change by up to eight seconds later than it is, and begins with nothing of the constant. */
        if (chance() < 0.1)
          node.counts = countsAfter(node.counts, Math.max(1, livingAt(atUs - chance() * 8 * second)), atUs);
        if (chance() < 0.2) {
          node.tries = triesAfter(node.tries, atUs, false);
          told.push({ atUs, isExtra: false });
        }
        const constant =
          atUs < node.beginsUs + windowUs
            ? 0
            : fleetExtra / (mostCounted(node.counts, atUs) ?? Number.POSITIVE_INFINITY);
        if (!mayTryAgain(node.tries, atUs, { fraction, constant })) continue;
        node.tries = triesAfter(node.tries, atUs, true);
        told.push({ atUs, isExtra: true });
      }
    for (let fromUs = 0; fromUs <= 80 * second; fromUs += 500_000) {
      const within = told.filter(({ atUs }) => atUs >= fromUs && atUs < fromUs + windowUs);
      const extras = within.filter(({ isExtra }) => isExtra).length;
      const firsts = within.length - extras;
      assert.ok(
        extras <= firsts * fraction + fleetExtra,
        `seed ${seed}, from ${fromUs}: ${extras} extra, ${firsts} first`,
      );
    }
  }
});

test.run();
