import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededChance, wholeBelow } from '../../src/common/chance.js';
import { positionOf } from '../../src/decision/ring/position.js';
import { rangeHolds } from '../../src/decision/ring/range.js';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import { endWell, ranWell } from './exchanges.js';
import { foundersAt, listOf, recordOf, second, serverOf, setup, warmup } from './figures.js';
import { deliversOf, openPlayer, typesOf, type Player } from './player.js';

const founders = foundersAt(4, 0);
const newcomer = serverOf('new', 100 * second);
const newKey = serverKeyOf(newcomer);
const joinList = listOf(2, 100 * second, [...founders, newcomer]);

/** A node at steady time 0 when the platform's time is 90 s. */
const bornNode = (): Player => {
  const player = openPlayer();
  player.play(
    { type: 'setup', at: 0, record: recordOf() },
    { type: 'list', at: 0, list: listOf(1, 90 * second, founders) },
  );
  return player;
};

const entryOf = (player: Player): number | undefined =>
  player
    .all()
    .flatMap((decision) => (decision.type === 'entered' && decision.server === newKey ? [decision.entryUs] : []))[0];

test('nodes with other traffic, other clocks and another order of messages come to one entry moment', () => {
  const quietNode = bornNode();
  quietNode.play({ type: 'list', at: 10 * second, list: joinList }, { type: 'tick', at: 30 * second });

  const busyNode = openPlayer();
  busyNode.play(
    { type: 'list', at: 5_000 * second, list: joinList },
    { type: 'setup', at: 5_001 * second, record: recordOf() },
  );
  for (let place = 0; place < 300; place += 1)
    ranWell(busyNode, { at: 5_001 * second + place * 50_000, exchange: `e${place}`, prefix: `p${place % 40}` });

  const lateNode = openPlayer();
  lateNode.play(
    { type: 'setup', at: 7 * second, record: recordOf() },
    { type: 'list', at: 8 * second, list: joinList },
  );
  const early = lateNode.view().stage.services.get('model')?.joining;
  lateNode.play({ type: 'time', at: 9 * second, platformUs: 110 * second });

  assert.equal(early, [newKey]);
  assert.is(entryOf(quietNode), 110 * second);
  assert.is(entryOf(busyNode), 110 * second);
  assert.is(entryOf(lateNode), 110 * second);
});

test('a join without any traffic still enters, and nothing is made up to warm it', () => {
  const player = bornNode();
  const booked = player.play({ type: 'list', at: 10 * second, list: joinList });
  assert.equal(typesOf(booked), ['booked']);
  assert.equal(typesOf(player.play({ type: 'tick', at: 19 * second })), []);
  assert.equal(typesOf(player.play({ type: 'tick', at: 20 * second })), ['entered']);
  assert.is(deliversOf(player.all()).length, 0);
});

test('warm-up covers every previewed range, sends callers exchanges only, and keeps its pace and order', () => {
  for (let seed = 1; seed <= 16; seed += 1) {
    const chance = seededChance(seed);
    const player = bornNode();
    const sentExchanges = new Set<string>();
    const warmingPositions = new Set<number>();
    let count = 0;
    const sendSome = (at: number): void => {
      count += 1;
      sentExchanges.add(`e${count}`);
      const prefix = `p${wholeBelow(chance, 400)}`;
      if (at >= 10 * second) warmingPositions.add(positionOf(prefix));
      ranWell(player, { at, exchange: `e${count}`, kind: chance() < 0.5 ? 'ask' : 'draft', prefix });
    };
    for (let at = 0; at < 10 * second; at += 25_000) sendSome(at);
    player.play({ type: 'list', at: 10 * second, list: joinList });
    const migration = player.view().stage.services.get('model')?.pending[0];
    assert.ok(migration);
    for (let at = 10 * second; at < 20 * second - 1; at += 10_000) sendSome(at);

    const warmups = deliversOf(player.all()).filter((deliver) => deliver.server === newKey && deliver.at < 20 * second);
    const ranges = migration?.ranges ?? [];
    assert.ok(ranges.length >= warmup.vnodes, `seed ${seed}: ${ranges.length} ranges`);
    for (const range of ranges) {
      const inRange = warmups.filter((deliver) => rangeHolds(range, deliver.reason.position));
      const isUsed = [...warmingPositions].some((position) => rangeHolds(range, position));
      assert.is(inRange.length > 0, isUsed, `seed ${seed}: range up to ${range.upTo}`);
      inRange.forEach((deliver, place) => {
        const formerDeliver = inRange[place - 1];
        if (formerDeliver !== undefined)
          assert.ok(deliver.at - formerDeliver.at >= warmup.paceUs, `seed ${seed}: two prefills within a pace`);
      });
    }
    for (const deliver of warmups) {
      assert.is(deliver.reason.type, 'warm-up');
      assert.ok(sentExchanges.has(deliver.exchange));
      assert.ok(ranges.some((range) => rangeHolds(range, deliver.reason.position)));
    }
  }
});

test('the hottest opening of the best tier is warmed first, a cooler one has to wait for its slot', () => {
  const player = bornNode();
  const range = (() => {
    const probe = bornNode();
    probe.play({ type: 'list', at: 0, list: joinList });
    return probe.view().stage.services.get('model')?.pending[0]?.ranges[0];
  })();
  if (range === undefined) throw new Error('no range was previewed');
  const inside = Array.from({ length: 20_000 }, (_, place) => `p${place}`).filter((prefix) =>
    rangeHolds(range, positionOf(prefix)),
  );
  const [coolFirst = '', hotSecond = '', hotFirst = ''] = inside;
  let count = 0;
  const send = (at: number, kind: string, prefix: string) => {
    count += 1;
    return ranWell(player, { at, exchange: `e${count}`, kind, prefix })[0];
  };
  for (let place = 0; place < 3; place += 1) send(place, 'ask', coolFirst);
  for (let place = 0; place < 9; place += 1) send(10 + place, 'ask', hotFirst);
  for (let place = 0; place < 50; place += 1) send(100 + place, 'draft', hotSecond);
  player.play({ type: 'list', at: 10 * second, list: joinList });
  assert.is.not(send(10 * second + 1, 'draft', hotSecond)?.server, newKey, 'a lower tier must wait');
  assert.is.not(send(10 * second + 2, 'ask', coolFirst)?.server, newKey, 'a cooler opening must wait');
  assert.is(send(10 * second + 3, 'ask', hotFirst)?.server, newKey);
  assert.is.not(send(10 * second + 4, 'ask', hotFirst)?.server, newKey, 'warm already, and not entered yet');
  assert.is.not(send(11 * second + 4, 'draft', hotSecond)?.server, newKey, 'its slot is the third');
  assert.is(send(11 * second + 5, 'ask', coolFirst)?.server, newKey);
  assert.is(send(12 * second + 6, 'draft', hotSecond)?.server, newKey);
});

test('nodes open their slots one after another, by their names, and still agree on the entry moment', () => {
  const firstSlotOf = (node: string): number => {
    const player = openPlayer();
    player.play(
      { type: 'node', at: 0, node },
      { type: 'setup', at: 0, record: recordOf({ ...setup, fleet: { routers: 4 } }) },
      { type: 'list', at: 0, list: listOf(1, 90 * second, founders) },
      { type: 'list', at: 10 * second, list: joinList },
    );
    const range = player.view().stage.services.get('model')?.pending[0]?.ranges[0];
    if (range === undefined) throw new Error('no range was previewed');
    const prefix =
      Array.from({ length: 5_000 }, (_, place) => `p${place}`).find((name) => rangeHolds(range, positionOf(name))) ??
      '';
    for (let at = 10 * second; at < 20 * second; at += 50_000)
      if (ranWell(player, { at, exchange: `e${at}`, prefix })[0]?.server === newKey) {
        player.play({ type: 'tick', at: 21 * second });
        assert.is(entryOf(player), 110 * second);
        return at;
      }
    throw new Error('nothing was diverted');
  };
  const slots = ['router-1', 'router-2', 'router-3', 'router-4'].map(firstSlotOf);
  assert.is(new Set(slots).size, 4, slots.join(', '));
  for (const slot of slots) assert.ok(slot >= 10 * second && slot <= 14 * second, String(slot));
});

test('a server that leaves or goes dark in its warm-up gets nothing more and is withdrawn', () => {
  const leaving = { ...newcomer, state: 'leaving' as const, leavingAtUs: 104 * second };
  const player = bornNode();
  player.play({ type: 'list', at: 10 * second, list: joinList });
  const withdrawn = player.play({
    type: 'list',
    at: 14 * second,
    list: listOf(3, 104 * second, [...founders, leaving]),
  });
  assert.equal(typesOf(withdrawn), ['withdrawn']);
  for (let place = 0; place < 400; place += 1)
    ranWell(player, { at: 14 * second + place * 50_000, exchange: `e${place}`, prefix: `p${place}` });
  assert.is(deliversOf(player.all()).filter((deliver) => deliver.server === newKey).length, 0);

  const crashed = bornNode();
  crashed.play({ type: 'list', at: 10 * second, list: joinList }, { type: 'dark', at: 11 * second, server: newKey });
  for (let place = 0; place < 400; place += 1)
    ranWell(crashed, { at: 11 * second + place * 10_000, exchange: `e${place}`, prefix: `p${place}` });
  assert.is(deliversOf(crashed.all()).filter((deliver) => deliver.server === newKey).length, 0);
});

test('a change of setup in the middle of a booking leaves its entry moment where it was', () => {
  const player = bornNode();
  player.play({ type: 'list', at: 10 * second, list: joinList });
  const slower = { ...setup, warmup: { ...warmup, paceUs: 3 * second, boundUs: 60 * second } };
  const record = {
    ...recordOf(slower, 2, 105 * second),
    epochs: [
      { sinceUs: 0, warmup },
      { sinceUs: 105 * second, warmup: slower.warmup },
    ],
  };
  assert.equal(player.play({ type: 'setup', at: 15 * second, record }), []);
  player.play({ type: 'tick', at: 20 * second });
  assert.is(entryOf(player), 110 * second);
});

test('openings that were warmed too long ago count as evicted and are warmed again before the entry', () => {
  const brief = { ...warmup, staleUs: 2 * second };
  const player = openPlayer();
  player.play(
    { type: 'setup', at: 0, record: recordOf({ ...setup, warmup: brief }) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, founders) },
    { type: 'list', at: 10 * second, list: joinList },
  );
  const range = player.view().stage.services.get('model')?.pending[0]?.ranges[0];
  if (range === undefined) throw new Error('no range was previewed');
  const prefix =
    Array.from({ length: 5_000 }, (_, place) => `p${place}`).find((name) => rangeHolds(range, positionOf(name))) ?? '';
  const servers = [10.1, 11.5, 13.5].map(
    (at, place) => ranWell(player, { at: at * second, exchange: `e${place}`, prefix })[0]?.server === newKey,
  );
  assert.equal(servers, [true, false, true]);
});

test('new weights book a server anew, clear what it was thought to remember, and keep its links', () => {
  const renewedFounder = founders.map((server) =>
    server.id === 'sa' ? { ...server, weights: 'w2', weightsAtUs: 100 * second } : server,
  );
  const player = bornNode();
  for (let place = 0; place < 100; place += 1)
    ranWell(player, { at: place, exchange: `e${place}`, prefix: `p${place}` });
  const keyOfFirst = serverKeyOf(founders[0] ?? newcomer);
  assert.ok((player.view().warmth.get(keyOfFirst)?.size ?? 0) > 0);
  const decisions = player.play({ type: 'list', at: 10 * second, list: listOf(2, 100 * second, renewedFounder) });
  assert.equal(
    decisions.flatMap((decision) => (decision.type === 'booked' ? [[decision.server, decision.entryUs]] : [])),
    [[keyOfFirst, 110 * second]],
  );
  assert.is(player.view().warmth.get(keyOfFirst), undefined);
});

test('after the entry cold prefills stay paced per range: the former owner serves the rest', () => {
  const player = bornNode();
  player.play({ type: 'list', at: 10 * second, list: joinList }, { type: 'tick', at: 20 * second });
  const range = player.view().stage.services.get('model')?.settling[0]?.ranges[0];
  if (range === undefined) throw new Error('no range was previewed');
  const prefixes = Array.from({ length: 20_000 }, (_, place) => `p${place}`).filter((name) =>
    rangeHolds(range, positionOf(name)),
  );
  const reasons = prefixes
    .slice(0, 3)
    .map(
      (prefix, place) => ranWell(player, { at: 20 * second + place, exchange: `e${place}`, prefix })[0]?.reason.type,
    );
  assert.equal(reasons, ['settling', 'paced-back', 'paced-back']);
  const again = ranWell(player, { at: 20 * second + 9, exchange: 'again', prefix: prefixes[0] ?? '' })[0];
  assert.is(again?.server, newKey);
});

test('a planned removal hands its openings over at a pace, and the leaver gets nothing once its grace is over', () => {
  const leaver = { ...(founders[0] ?? newcomer), state: 'leaving' as const, leavingAtUs: 100 * second };
  const leaverKey = serverKeyOf(leaver);
  const player = bornNode();
  const prefixes = Array.from({ length: 200 }, (_, place) => `p${place}`);
  prefixes.forEach((prefix, place) => ranWell(player, { at: place, exchange: `w${place}`, prefix }));
  const owned = deliversOf(player.all()).filter((deliver) => deliver.server === leaverKey).length;
  player.play({ type: 'list', at: 10 * second, list: listOf(2, 100 * second, [leaver, ...founders.slice(1)]) });
  prefixes.forEach((prefix, place) => ranWell(player, { at: 10 * second + place, exchange: `x${place}`, prefix }));
  const during = deliversOf(player.all()).filter((deliver) => deliver.at >= 10 * second);
  const handedOver = during.filter((deliver) => deliver.reason.type === 'handing-over').length;
  assert.ok(handedOver > 0 && handedOver < owned, `${handedOver} of ${owned} handed over at once`);
  prefixes.forEach((prefix, place) => ranWell(player, { at: 12 * second + place, exchange: `y${place}`, prefix }));
  const later = deliversOf(player.all()).filter((deliver) => deliver.at >= 12 * second);
  assert.is(later.filter((deliver) => deliver.server === leaverKey).length, 0);
});

test('a server that is shown as leaving again, with a later time, still gets nothing after its first grace', () => {
  const [first = newcomer, ...others] = founders;
  const leaving = (leavingAtUs: number) => ({ ...first, state: 'leaving' as const, leavingAtUs });
  const player = bornNode();
  player.play(
    { type: 'list', at: 10 * second, list: listOf(2, 100 * second, [leaving(100 * second), ...others]) },
    { type: 'list', at: 13 * second, list: listOf(3, 103 * second, [leaving(103 * second), ...others]) },
  );
  for (let place = 0; place < 100; place += 1)
    ranWell(player, { at: 13 * second + place, exchange: `e${place}`, prefix: `p${place}` });
  assert.is(deliversOf(player.all()).filter((deliver) => deliver.server === serverKeyOf(first)).length, 0);
});

test('a new count of vnodes is a migration too: openings move at a pace, then the new ring holds', () => {
  const player = bornNode();
  const denser = { ...setup, warmup: { ...warmup, vnodes: 16 } };
  const record = {
    ...recordOf(denser, 2, 100 * second),
    epochs: [
      { sinceUs: 0, warmup },
      { sinceUs: 100 * second, warmup: denser.warmup },
    ],
  };
  player.play({ type: 'setup', at: 10 * second, record });
  const stage = player.view().stage.services.get('model');
  assert.is(stage?.pending[0]?.type, 'rebalance');
  assert.is(stage?.ring.vnodes.length, 4 * 8);
  player.play({ type: 'tick', at: 20 * second });
  assert.is(player.view().stage.services.get('model')?.ring.vnodes.length, 4 * 16);
});

test('servers that are booked serve early only when no entered server is left', () => {
  const player = bornNode();
  player.play({ type: 'list', at: 10 * second, list: joinList });
  for (const founder of founders) player.play({ type: 'dark', at: 11 * second, server: serverKeyOf(founder) });
  const [deliver] = deliversOf(
    player.play({ type: 'exchange', at: 12 * second, exchange: 'e1', kind: 'ask', prefix: 'p1' }),
  );
  assert.is(deliver?.server, newKey);
  assert.is(deliver?.reason.type, 'emergency');
  if (deliver !== undefined) endWell(player, 12 * second, deliver);
});

test.run();
