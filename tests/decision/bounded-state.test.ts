import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { emptyHotness, countRequest, scoreAt, type Hotness } from '../../src/decision/hotness/hotness.js';
import { warmupRankOf } from '../../src/decision/hotness/warmup-rank.js';
import { emptyPace, isSlotFree, takeSlot } from '../../src/decision/pace/pace.js';
import { interleavedOwners } from '../../src/decision/ring/interleaved-owners.js';
import { positionEnd, positionOf } from '../../src/decision/ring/position.js';
import { joinRanges, leaveRanges, previewRanges } from '../../src/decision/ring/preview.js';
import { rangeAt, rangeContains, type Range } from '../../src/decision/ring/range.js';
import { ringOf, withMember, withoutMember } from '../../src/decision/ring/ring.js';
import { initialDecisionView } from '../../src/decision/machine/view/decision-view.js';
import { isCold, withCachedPrefix } from '../../src/decision/machine/step/cached-prefixes.js';
import { stepDecision } from '../../src/decision/machine/step/step.js';
import { initialServersAt, listOf, recordOf, second, setup } from './fixtures.js';

const members = Array.from({ length: 40 }, (_, index) => ({ key: `s${index}/i`, id: `s${index}` }));

/** The specified order, by a quadratic scan: each time the next owner of a locality with the fewest owners so far. */
const ownersByScan = (owners: readonly string[], localityOf: (owner: string) => string): readonly string[] => {
  const ordered: string[] = [];
  const countOf = (owner: string): number => ordered.filter((known) => localityOf(known) === localityOf(owner)).length;
  while (ordered.length < owners.length) {
    const remaining = owners.filter((owner) => !ordered.includes(owner));
    const fewest = Math.min(...remaining.map(countOf));
    ordered.push(...remaining.filter((owner) => countOf(owner) === fewest).slice(0, 1));
  }
  return ordered;
};

test('interleaving by locality gives the order of the quadratic scan, also for localities of different size', () => {
  for (let index = 0; index < 10; index += 1) {
    const owners = members
      .map(({ key }) => key)
      .sort((left, right) => positionOf(`${index}${left}`) - positionOf(`${index}${right}`));
    const localityOf = (owner: string): string =>
      String(Math.floor(Math.sqrt(owner.length * 7 + (owner.codePointAt(1) ?? 0) - 48)));
    assert.equal(interleavedOwners(owners, localityOf), ownersByScan(owners, localityOf));
  }
});

test('the ranges of a join and of a leave equal those of a comparison of the two rings', () => {
  for (let count = 0; count < members.length; count += 1)
    for (const vnodeCount of [1, 3, 16]) {
      const ring = ringOf(members.slice(0, count), vnodeCount);
      for (const member of members.slice(count, count + 1)) {
        const larger = ringOf([...members.slice(0, count), member], vnodeCount);
        assert.equal(joinRanges(ring, member, vnodeCount), previewRanges(ring, larger));
        assert.equal(leaveRanges(ring, member, vnodeCount), previewRanges(larger, ring));
        assert.equal(withMember(ring, member, vnodeCount), larger);
        assert.equal(withoutMember(larger, member.key), ring);
      }
    }
});

test('the binary search for the range of a position agrees with a linear scan of all ranges of a rebalance', () => {
  const ranges = previewRanges(ringOf(members, 8), ringOf(members, 16));
  assert.ok(ranges.length > 100);
  const positions = [
    0,
    positionEnd - 1,
    ...ranges.flatMap(({ after, upTo }) => [after, upTo, upTo + 1]),
    ...members.map(({ id }) => positionOf(id)),
  ];
  for (const position of positions)
    assert.is(
      rangeAt(ranges, position),
      ranges.find((range) => rangeContains(range, position)),
      `${position}`,
    );
  assert.is(rangeAt([], 1), undefined);
});

const hotnessAfter = (count: number, start = emptyHotness): Hotness =>
  Array.from({ length: count }, (_, index) => index).reduce(
    (hotness, index) =>
      countRequest(hotness, {
        prefix: `p${index}`,
        position: positionOf(`p${index}`),
        service: index % 3 === 0 ? 'other' : 'model',
        tierIndex: index % 2,
        weight: 1 + (index % 5),
        atUs: index * 1000,
      }),
    start,
  );

test('the warm-up rank in a range agrees with sorting all prefixes', () => {
  const hotness = hotnessAfter(400);
  const ranges: readonly Range[] = [
    { after: positionEnd * 0.2, upTo: positionEnd * 0.3, from: 'a', to: 'b' },
    { after: positionEnd * 0.95, upTo: positionEnd * 0.02, from: 'a', to: 'b' },
    { after: positionEnd * 0.50001, upTo: positionEnd * 0.50002, from: 'a', to: 'b' },
    { after: 7, upTo: 7, from: 'a', to: 'b' },
    { after: 9, upTo: 8, from: 'a', to: 'b' },
  ];
  const atUs = 2_000_000;
  for (const range of ranges) {
    const sorted = [...hotness.prefixes]
      .filter(([, hot]) => hot.service === 'model' && rangeContains(range, hot.position))
      .sort(
        ([leftName, left], [rightName, right]) =>
          left.tierIndex - right.tierIndex ||
          scoreAt(right, atUs) - scoreAt(left, atUs) ||
          (leftName < rightName ? -1 : 1),
      )
      .map(([name]) => name);
    for (const prefix of hotness.prefixes.keys()) {
      const index = sorted.indexOf(prefix);
      for (const most of [1, 25, 5000])
        assert.is(
          warmupRankOf(hotness, { prefix, service: 'model' }, range, atUs, most),
          index >= 0 && index < most ? index : undefined,
        );
    }
  }
});

test('hot prefixes are bounded in number, the hottest stay, and the index of arcs holds exactly those', () => {
  const hottest = { prefix: 'hottest', position: 5, service: 'model', tierIndex: 0, weight: 1e6, atUs: 0 };
  const hotness = hotnessAfter(6000, countRequest(emptyHotness, hottest));
  assert.ok(hotness.prefixes.size <= 4096);
  assert.ok(hotness.prefixes.size >= 4096 - 512);
  assert.ok(hotness.prefixes.has('hottest'));
  assert.equal([...hotness.arcs.values()].flat().sort(), [...hotness.prefixes.keys()].sort());
});

test('the cached prefixes of a server are bounded in number, and the newest stay', () => {
  const configured = stepDecision(initialDecisionView, { type: 'setup', at: 0, record: recordOf() }).view;
  const view = Array.from({ length: 10_000 }, (_, index) => index).reduce(
    (previous, index) => withCachedPrefix({ ...previous, atUs: index }, 's', `p${index}`),
    configured,
  );
  assert.ok((view.cachedPrefixes.get('s')?.size ?? 0) <= 8192);
  assert.not(isCold(view, 's', 'p9999'));
  assert.not(isCold(view, 's', 'p4000'));
  assert.ok(isCold(view, 's', 'p0'));
});

test('pace slots in the past are dropped, those in the future never', () => {
  let pace = emptyPace;
  for (let index = 0; index < 5000; index += 1) {
    pace = takeSlot(pace, `k${index}`, index, 50);
    assert.ok(pace.nextSlotUs.size <= 128);
    assert.not(isSlotFree(pace, `k${index}`, index) || isSlotFree(pace, `k${Math.max(0, index - 49)}`, index));
  }
});

test('a view is immutable: the same events from an old view give the same decisions again', () => {
  const listed = stepDecision(
    stepDecision(initialDecisionView, { type: 'setup', at: 0, record: recordOf(setup) }).view,
    {
      type: 'list',
      at: 0,
      list: listOf(1, 0, initialServersAt(5, 0)),
    },
  ).view;
  const play = () => {
    let view = listed;
    return Array.from({ length: 60 }, (_, index) => {
      const step = stepDecision(
        view,
        index % 7 === 6
          ? { type: 'tick', at: index * second }
          : { type: 'exchange', at: index * second, exchange: `x${index}`, kind: 'ask', prefix: `p${index % 9}` },
      );
      view = step.view;
      return step.effects;
    });
  };
  const first = play();
  assert.is(listed.exchanges.size, 0);
  assert.equal(play(), first);
});

test('the pressure per ring always equals the sum over its servers', () => {
  let view = stepDecision(stepDecision(initialDecisionView, { type: 'setup', at: 0, record: recordOf(setup) }).view, {
    type: 'list',
    at: 0,
    list: listOf(1, 0, initialServersAt(5, 0)),
  }).view;
  for (let index = 1; index < 400; index += 1) {
    const at = index * 200_000;
    const running = [...view.exchanges.values()][index % Math.max(1, view.exchanges.size)];
    const attempt1 = { at, exchange: running?.exchange ?? '', attempt: running?.attempt ?? 0 };
    view = stepDecision(view, {
      type: 'exchange',
      at,
      exchange: `x${index}`,
      kind: index % 5 === 0 ? 'check' : 'ask',
      prefix: `p${index % 20}`,
    }).view;
    if (index % 3 === 0) view = stepDecision(view, { type: 'done', ...attempt1 }).view;
    if (index % 4 === 0)
      view = stepDecision(view, { type: 'failed', ...attempt1, sent: false, pieces: 0, error: 'no-link' }).view;
    if (index % 10 === 0) view = stepDecision(view, { type: 'tick', at }).view;
    if (index % 100 === 0)
      view = stepDecision(view, {
        type: 'list',
        at,
        list: listOf(1 + index, at, initialServersAt(5 + ((index / 100) % 2), 0)),
      }).view;
    const pressure = [...(view.topology.services.get('model')?.localities.keys() ?? [])].reduce(
      (sum, server) => sum + (view.pressure.get(server) ?? 0),
      0,
    );
    assert.is(view.ringPressure.get('model'), pressure);
  }
});

test.run();
