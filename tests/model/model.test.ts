import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { searchBounded } from './bounded-search.js';
import { loseDisk } from './cluster.js';
import { foundedCluster } from './directed.js';
import { mayLoseDisk } from './loss-rule.js';
import { playWalk } from './random-walk.js';
import { describeBreak, findBreak } from './walk-property.js';

/** The model check as continuous integration runs it; `npm run model` is the long form. */

const walkDepth = 60;

for (const { sizes, seed, runs } of [
  { sizes: [3], seed: 1, runs: 250 },
  { sizes: [2, 4, 5], seed: 2, runs: 150 },
])
  test(`no random walk breaks a rule, with replicas in number ${sizes.join(', ')}`, () => {
    const found = findBreak({ seed, runs, depth: walkDepth, sizes });
    assert.is(found, undefined, found === undefined ? '' : describeBreak(found));
  });

test('two elections among three replicas break no rule in any order of delivery', () => {
  const end = searchBounded({
    size: 3,
    elections: 2,
    heartbeats: 0,
    proposals: 0,
    failures: 0,
    duplicates: 0,
    framesInFlight: 4,
    depth: 16,
    states: 100_000,
  });
  assert.equal(end.broken, [], end.trace.join('\n'));
  assert.ok(end.isExhausted, `${end.states} states were visited before the bound`);
});

test('a walk plays the same twice', () => {
  const walk = { size: 3, isFounded: true, actions: [1317040107, 1745241163, 2081729315, 427860695] };
  assert.equal(playWalk(walk).trace, playWalk(walk).trace);
});

test('a disk is lost only while a minority of each configuration is lost', () => {
  const founded = foundedCluster(3);
  const [first, second] = founded.machines;
  assert.ok(first !== undefined && second !== undefined);
  assert.ok(mayLoseDisk(founded, first.identity));
  const onceLost = loseDisk(founded, 0, true);
  assert.not.ok(mayLoseDisk(onceLost, second.identity));
  const largeCore = loseDisk(foundedCluster(5), 0, true);
  assert.ok(mayLoseDisk(largeCore, second.identity), 'two of five may be lost');
  assert.not.ok(mayLoseDisk(loseDisk(largeCore, 1, true), 'c-1'), 'three of five may not');
});

test.run();
