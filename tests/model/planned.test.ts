import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lateJoin, secondLoss } from './directed.js';

for (const size of [3, 5]) {
  test(`a core of ${size} elects a leader after a second loss, though a new voter has not heard that it is one`, () => {
    const { cluster, isMet } = secondLoss(size);
    assert.ok(isMet, 'the plan met its moment');
    assert.equal(cluster.broken, []);
  });

  test(`a join of a former life does not evict the voter at that address, in a core of ${size}`, () => {
    const { cluster, isMet } = lateJoin(size);
    assert.ok(isMet, 'the plan met its moment');
    assert.equal(cluster.broken, []);
  });
}

test.run();
