import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { emptyHotness, heated, scoreAt, type Hotness } from '../../src/decision/hotness/hotness.js';
import { rankIn } from '../../src/decision/hotness/schedule.js';
import { emptyPace, paceAllows, paceTaken } from '../../src/decision/pace/pace.js';
import { acrossLocalities } from '../../src/decision/ring/across-localities.js';
import { positionEnd, positionOf } from '../../src/decision/ring/position.js';
import { joinRanges, leaveRanges, previewRanges } from '../../src/decision/ring/preview.js';
import { rangeAt, rangeHolds, type Range } from '../../src/decision/ring/range.js';
import { ringOf, withMember, withoutMember } from '../../src/decision/ring/ring.js';
import { startDecisionView } from '../../src/decision/machine/view/decision-view.js';
import { isCold, warmed } from '../../src/decision/machine/step/warmth.js';
import { stepDecision } from '../../src/decision/machine/step/step.js';
import { foundersAt, listOf, recordOf, second, setup } from './figures.js';

const members = Array.from({ length: 40 }, (_, place) => ({ key: `s${place}/i`, id: `s${place}` }));

/** The order as it is meant, found by looking at all owners for each place. */
const ownersByLook = (owners: readonly string[], localityOf: (owner: string) => string): readonly string[] => {
  const ordered: string[] = [];
  const countOf = (owner: string): number => ordered.filter((known) => localityOf(known) === localityOf(owner)).length;
  while (ordered.length < owners.length) {
    const waiting = owners.filter((owner) => !ordered.includes(owner));
    const least = Math.min(...waiting.map(countOf));
    ordered.push(...waiting.filter((owner) => countOf(owner) === least).slice(0, 1));
  }
  return ordered;
};

test('owners stand in the same order as by looking at all of them, also in uneven localities', () => {
  for (let place = 0; place < 10; place += 1) {
    const owners = members
      .map(({ key }) => key)
      .sort((left, right) => positionOf(`${place}${left}`) - positionOf(`${place}${right}`));
    const localityOf = (owner: string): string =>
      String(Math.floor(Math.sqrt(owner.length * 7 + (owner.codePointAt(1) ?? 0) - 48)));
    assert.equal(acrossLocalities(owners, localityOf), ownersByLook(owners, localityOf));
  }
});

test('the ranges of a join and of a leave are those of comparing the two rings', () => {
  for (let count = 0; count < members.length; count += 1)
    for (const vnodeCount of [1, 3, 16]) {
      const ring = ringOf(members.slice(0, count), vnodeCount);
      for (const member of members.slice(count, count + 1)) {
        const fuller = ringOf([...members.slice(0, count), member], vnodeCount);
        assert.equal(joinRanges(ring, member, vnodeCount), previewRanges(ring, fuller));
        assert.equal(leaveRanges(ring, member, vnodeCount), previewRanges(fuller, ring));
        assert.equal(withMember(ring, member, vnodeCount), fuller);
        assert.equal(withoutMember(fuller, member.key), ring);
      }
    }
});

test('the range of a position is found among all that a rebalance has', () => {
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
      ranges.find((range) => rangeHolds(range, position)),
      `${position}`,
    );
  assert.is(rangeAt([], 1), undefined);
});

const heatedBy = (count: number, start = emptyHotness): Hotness =>
  Array.from({ length: count }, (_, place) => place).reduce(
    (hotness, place) =>
      heated(hotness, {
        prefix: `p${place}`,
        position: positionOf(`p${place}`),
        service: place % 3 === 0 ? 'other' : 'model',
        tierIndex: place % 2,
        weight: 1 + (place % 5),
        atUs: place * 1000,
      }),
    start,
  );

test('the rank in a range is that of sorting all openings', () => {
  const hotness = heatedBy(400);
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
      .filter(([, hot]) => hot.service === 'model' && rangeHolds(range, hot.position))
      .sort(
        ([leftName, left], [rightName, right]) =>
          left.tierPlace - right.tierPlace ||
          scoreAt(right, atUs) - scoreAt(left, atUs) ||
          (leftName < rightName ? -1 : 1),
      )
      .map(([name]) => name);
    for (const prefix of hotness.prefixes.keys()) {
      const place = sorted.indexOf(prefix);
      for (const most of [1, 25, 5000])
        assert.is(
          rankIn(hotness, { prefix, service: 'model' }, range, atUs, most),
          place >= 0 && place < most ? place : undefined,
        );
    }
  }
});

test('hot openings are bounded, the hottest stay, and the arcs name exactly those that are known', () => {
  const hottest = { prefix: 'hottest', position: 5, service: 'model', tierIndex: 0, weight: 1e6, atUs: 0 };
  const hotness = heatedBy(6000, heated(emptyHotness, hottest));
  assert.ok(hotness.prefixes.size <= 4096);
  assert.ok(hotness.prefixes.size >= 4096 - 512);
  assert.ok(hotness.prefixes.has('hottest'));
  assert.equal([...hotness.arcs.values()].flat().sort(), [...hotness.prefixes.keys()].sort());
});

test('what a server is known to have read is bounded, and the newest stays', () => {
  const named = stepDecision(startDecisionView, { type: 'setup', at: 0, record: recordOf() }).view;
  const view = Array.from({ length: 10_000 }, (_, place) => place).reduce(
    (reached, place) => warmed({ ...reached, atUs: place }, 's', `p${place}`),
    named,
  );
  assert.ok((view.warmth.get('s')?.size ?? 0) <= 8192);
  assert.not(isCold(view, 's', 'p9999'));
  assert.not(isCold(view, 's', 'p4000'));
  assert.ok(isCold(view, 's', 'p0'));
});

test('slots that lie behind are forgotten in time, those ahead never', () => {
  let pace = emptyPace;
  for (let place = 0; place < 5000; place += 1) {
    pace = paceTaken(pace, `k${place}`, place, 50);
    assert.ok(pace.freeUs.size <= 128);
    assert.not(paceAllows(pace, `k${place}`, place) || paceAllows(pace, `k${Math.max(0, place - 49)}`, place));
  }
});

test('older views stay as they were: the same events give the same decisions from them again', () => {
  const begun = stepDecision(stepDecision(startDecisionView, { type: 'setup', at: 0, record: recordOf(setup) }).view, {
    type: 'list',
    at: 0,
    list: listOf(1, 0, foundersAt(5, 0)),
  }).view;
  const playFrom = () => {
    let view = begun;
    return Array.from({ length: 60 }, (_, place) => {
      const step = stepDecision(
        view,
        place % 7 === 6
          ? { type: 'tick', at: place * second }
          : { type: 'exchange', at: place * second, exchange: `x${place}`, kind: 'ask', prefix: `p${place % 9}` },
      );
      view = step.view;
      return step.effects;
    });
  };
  const first = playFrom();
  assert.is(begun.exchanges.size, 0);
  assert.equal(playFrom(), first);
});

test('the sums of pressure are those of adding it up, whatever happens', () => {
  let view = stepDecision(stepDecision(startDecisionView, { type: 'setup', at: 0, record: recordOf(setup) }).view, {
    type: 'list',
    at: 0,
    list: listOf(1, 0, foundersAt(5, 0)),
  }).view;
  for (let place = 1; place < 400; place += 1) {
    const at = place * 200_000;
    const known = [...view.exchanges.values()][place % Math.max(1, view.exchanges.size)];
    const named = { at, exchange: known?.exchange ?? '', attempt: known?.attempt ?? 0 };
    view = stepDecision(view, {
      type: 'exchange',
      at,
      exchange: `x${place}`,
      kind: place % 5 === 0 ? 'check' : 'ask',
      prefix: `p${place % 20}`,
    }).view;
    if (place % 3 === 0) view = stepDecision(view, { type: 'done', ...named }).view;
    if (place % 4 === 0)
      view = stepDecision(view, { type: 'failed', ...named, sent: false, pieces: 0, error: 'no-link' }).view;
    if (place % 10 === 0) view = stepDecision(view, { type: 'tick', at }).view;
    if (place % 100 === 0)
      view = stepDecision(view, {
        type: 'list',
        at,
        list: listOf(1 + place, at, foundersAt(5 + ((place / 100) % 2), 0)),
      }).view;
    const pressure = [...(view.stage.services.get('model')?.localities.keys() ?? [])].reduce(
      (sum, server) => sum + (view.pressure.get(server) ?? 0),
      0,
    );
    assert.is(view.ringPressure.get('model'), pressure);
  }
});

test.run();
