import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRandom, randomBelow } from '../../src/common/random.js';
import { positionOf } from '../../src/decision/ring/position.js';
import { rangeContains } from '../../src/decision/ring/range.js';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import { completeAttempt, runExchange } from './exchanges.js';
import { initialServersAt, listOf, recordOf, second, serverOf, setup, warmup } from './fixtures.js';
import { deliveriesIn, openPlayer, decisionTypesOf, type Player } from './player.js';

const initialServers = initialServersAt(4, 0);
const joiner = serverOf('new', 100 * second);
const joinerKey = serverKeyOf(joiner);
const joinList = listOf(2, 100 * second, [...initialServers, joiner]);

/** A node whose monotonic time is 0 when the platform time is 90 s. */
const openNode = (): Player => {
  const player = openPlayer();
  player.play(
    { type: 'setup', at: 0, record: recordOf() },
    { type: 'list', at: 0, list: listOf(1, 90 * second, initialServers) },
  );
  return player;
};

const entryOf = (player: Player): number | undefined =>
  player
    .all()
    .flatMap((decision) => (decision.type === 'entered' && decision.server === joinerKey ? [decision.entryUs] : []))[0];

test('nodes with different traffic, clocks and order of messages agree on the entry moment', () => {
  const quietNode = openNode();
  quietNode.play({ type: 'list', at: 10 * second, list: joinList }, { type: 'tick', at: 30 * second });

  const busyNode = openPlayer();
  busyNode.play(
    { type: 'list', at: 5_000 * second, list: joinList },
    { type: 'setup', at: 5_001 * second, record: recordOf() },
  );
  for (let index = 0; index < 300; index += 1)
    runExchange(busyNode, { at: 5_001 * second + index * 50_000, exchange: `e${index}`, prefix: `p${index % 40}` });

  const lateNode = openPlayer();
  lateNode.play(
    { type: 'setup', at: 7 * second, record: recordOf() },
    { type: 'list', at: 8 * second, list: joinList },
  );
  const joiningBefore = lateNode.view().topology.services.get('model')?.joining;
  lateNode.play({ type: 'time', at: 9 * second, platformUs: 110 * second });

  assert.equal(joiningBefore, [joinerKey]);
  assert.is(entryOf(quietNode), 110 * second);
  assert.is(entryOf(busyNode), 110 * second);
  assert.is(entryOf(lateNode), 110 * second);
});

test('a server that joins without any traffic still enters, and no requests are synthesized to warm it up', () => {
  const player = openNode();
  const booked = player.play({ type: 'list', at: 10 * second, list: joinList });
  assert.equal(decisionTypesOf(booked), ['booked']);
  assert.equal(decisionTypesOf(player.play({ type: 'tick', at: 19 * second })), []);
  assert.equal(decisionTypesOf(player.play({ type: 'tick', at: 20 * second })), ['entered']);
  assert.is(deliveriesIn(player.all()).length, 0);
});

test('warm-up covers every previewed range, sends only exchanges of clients, and keeps the pace', () => {
  for (let seed = 1; seed <= 16; seed += 1) {
    const chance = seededRandom(seed);
    const player = openNode();
    const clientExchanges = new Set<string>();
    const warmingPositions = new Set<number>();
    let count = 0;
    const sendRandom = (at: number): void => {
      count += 1;
      clientExchanges.add(`e${count}`);
      const prefix = `p${randomBelow(chance, 400)}`;
      if (at >= 10 * second) warmingPositions.add(positionOf(prefix));
      runExchange(player, { at, exchange: `e${count}`, kind: chance() < 0.5 ? 'ask' : 'draft', prefix });
    };
    for (let at = 0; at < 10 * second; at += 25_000) sendRandom(at);
    player.play({ type: 'list', at: 10 * second, list: joinList });
    const migration = player.view().topology.services.get('model')?.pending[0];
    assert.ok(migration);
    for (let at = 10 * second; at < 20 * second - 1; at += 10_000) sendRandom(at);

    const warmups = deliveriesIn(player.all()).filter(
      (deliver) => deliver.server === joinerKey && deliver.at < 20 * second,
    );
    const ranges = migration?.ranges ?? [];
    assert.ok(ranges.length >= warmup.vnodes, `seed ${seed}: ${ranges.length} ranges`);
    for (const range of ranges) {
      const inRange = warmups.filter((deliver) => rangeContains(range, deliver.reason.position));
      const isUsed = [...warmingPositions].some((position) => rangeContains(range, position));
      assert.is(inRange.length > 0, isUsed, `seed ${seed}: range up to ${range.upTo}`);
      inRange.forEach((deliver, index) => {
        const previousDeliver = inRange[index - 1];
        if (previousDeliver !== undefined)
          assert.ok(
            deliver.at - previousDeliver.at >= warmup.paceUs,
            `seed ${seed}: two prefills of a range closer than the pace`,
          );
      });
    }
    for (const deliver of warmups) {
      assert.is(deliver.reason.type, 'warm-up');
      assert.ok(clientExchanges.has(deliver.exchange));
      assert.ok(ranges.some((range) => rangeContains(range, deliver.reason.position)));
    }
  }
});

test('the hottest prefix of the best tier is warmed first, a cooler one waits for its slot', () => {
  const player = openNode();
  const range = (() => {
    const probe = openNode();
    probe.play({ type: 'list', at: 0, list: joinList });
    return probe.view().topology.services.get('model')?.pending[0]?.ranges[0];
  })();
  if (range === undefined) throw new Error('no range was previewed');
  const inside = Array.from({ length: 20_000 }, (_, index) => `p${index}`).filter((prefix) =>
    rangeContains(range, positionOf(prefix)),
  );
  const [coolBestTier = '', hotLowerTier = '', hotBestTier = ''] = inside;
  let count = 0;
  const send = (at: number, kind: string, prefix: string) => {
    count += 1;
    return runExchange(player, { at, exchange: `e${count}`, kind, prefix })[0];
  };
  for (let index = 0; index < 3; index += 1) send(index, 'ask', coolBestTier);
  for (let index = 0; index < 9; index += 1) send(10 + index, 'ask', hotBestTier);
  for (let index = 0; index < 50; index += 1) send(100 + index, 'draft', hotLowerTier);
  player.play({ type: 'list', at: 10 * second, list: joinList });
  assert.is.not(send(10 * second + 1, 'draft', hotLowerTier)?.server, joinerKey, 'a lower tier must wait');
  assert.is.not(send(10 * second + 2, 'ask', coolBestTier)?.server, joinerKey, 'a cooler prefix must wait');
  assert.is(send(10 * second + 3, 'ask', hotBestTier)?.server, joinerKey);
  assert.is.not(
    send(10 * second + 4, 'ask', hotBestTier)?.server,
    joinerKey,
    'it is warm already, and the server has not entered yet',
  );
  assert.is.not(send(11 * second + 4, 'draft', hotLowerTier)?.server, joinerKey, 'its slot is the third');
  assert.is(send(11 * second + 5, 'ask', coolBestTier)?.server, joinerKey);
  assert.is(send(12 * second + 6, 'draft', hotLowerTier)?.server, joinerKey);
});

test('the slots of the nodes are staggered by node name, and the nodes still agree on the entry moment', () => {
  const firstSlotOf = (node: string): number => {
    const player = openPlayer();
    player.play(
      { type: 'node', at: 0, node },
      { type: 'setup', at: 0, record: recordOf({ ...setup, fleet: { routers: 4 } }) },
      { type: 'list', at: 0, list: listOf(1, 90 * second, initialServers) },
      { type: 'list', at: 10 * second, list: joinList },
    );
    const range = player.view().topology.services.get('model')?.pending[0]?.ranges[0];
    if (range === undefined) throw new Error('no range was previewed');
    const prefix =
      Array.from({ length: 5_000 }, (_, index) => `p${index}`).find((name) => rangeContains(range, positionOf(name))) ??
      '';
    for (let at = 10 * second; at < 20 * second; at += 50_000)
      if (runExchange(player, { at, exchange: `e${at}`, prefix })[0]?.server === joinerKey) {
        player.play({ type: 'tick', at: 21 * second });
        assert.is(entryOf(player), 110 * second);
        return at;
      }
    throw new Error('no exchange went to the joining server');
  };
  const slots = ['router-1', 'router-2', 'router-3', 'router-4'].map(firstSlotOf);
  assert.is(new Set(slots).size, 4, slots.join(', '));
  for (const slot of slots) assert.ok(slot >= 10 * second && slot <= 14 * second, String(slot));
});

test('a server that leaves or becomes unreachable during its warm-up gets no more exchanges; one that leaves is withdrawn', () => {
  const leaving = { ...joiner, state: 'leaving' as const, leavingAtUs: 104 * second };
  const player = openNode();
  player.play({ type: 'list', at: 10 * second, list: joinList });
  const withdrawn = player.play({
    type: 'list',
    at: 14 * second,
    list: listOf(3, 104 * second, [...initialServers, leaving]),
  });
  assert.equal(decisionTypesOf(withdrawn), ['withdrawn']);
  for (let index = 0; index < 400; index += 1)
    runExchange(player, { at: 14 * second + index * 50_000, exchange: `e${index}`, prefix: `p${index}` });
  assert.is(deliveriesIn(player.all()).filter((deliver) => deliver.server === joinerKey).length, 0);

  const nodeWithDarkServer = openNode();
  nodeWithDarkServer.play(
    { type: 'list', at: 10 * second, list: joinList },
    { type: 'dark', at: 11 * second, server: joinerKey },
  );
  for (let index = 0; index < 400; index += 1)
    runExchange(nodeWithDarkServer, { at: 11 * second + index * 10_000, exchange: `e${index}`, prefix: `p${index}` });
  assert.is(deliveriesIn(nodeWithDarkServer.all()).filter((deliver) => deliver.server === joinerKey).length, 0);
});

test('a change of the configuration during a booking does not move its entry moment', () => {
  const player = openNode();
  player.play({ type: 'list', at: 10 * second, list: joinList });
  const slowerSetup = { ...setup, warmup: { ...warmup, paceUs: 3 * second, boundUs: 60 * second } };
  const record = {
    ...recordOf(slowerSetup, 2, 105 * second),
    epochs: [
      { sinceUs: 0, warmup },
      { sinceUs: 105 * second, warmup: slowerSetup.warmup },
    ],
  };
  assert.equal(player.play({ type: 'setup', at: 15 * second, record }), []);
  player.play({ type: 'tick', at: 20 * second });
  assert.is(entryOf(player), 110 * second);
});

test('prefixes that were warmed too long ago count as evicted and are warmed again before the entry', () => {
  const shortLived = { ...warmup, staleUs: 2 * second };
  const player = openPlayer();
  player.play(
    { type: 'setup', at: 0, record: recordOf({ ...setup, warmup: shortLived }) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, initialServers) },
    { type: 'list', at: 10 * second, list: joinList },
  );
  const range = player.view().topology.services.get('model')?.pending[0]?.ranges[0];
  if (range === undefined) throw new Error('no range was previewed');
  const prefix =
    Array.from({ length: 5_000 }, (_, index) => `p${index}`).find((name) => rangeContains(range, positionOf(name))) ??
    '';
  const servers = [10.1, 11.5, 13.5].map(
    (at, index) => runExchange(player, { at: at * second, exchange: `e${index}`, prefix })[0]?.server === joinerKey,
  );
  assert.equal(servers, [true, false, true]);
});

test('a server with new model weights gets a new booking, and its cached prefixes are dropped', () => {
  const reweightedServers = initialServers.map((server) =>
    server.id === 'sa' ? { ...server, weights: 'w2', weightsAtUs: 100 * second } : server,
  );
  const player = openNode();
  for (let index = 0; index < 100; index += 1)
    runExchange(player, { at: index, exchange: `e${index}`, prefix: `p${index}` });
  const reweightedKey = serverKeyOf(initialServers[0] ?? joiner);
  assert.ok((player.view().cachedPrefixes.get(reweightedKey)?.size ?? 0) > 0);
  const decisions = player.play({ type: 'list', at: 10 * second, list: listOf(2, 100 * second, reweightedServers) });
  assert.equal(
    decisions.flatMap((decision) => (decision.type === 'booked' ? [[decision.server, decision.entryUs]] : [])),
    [[reweightedKey, 110 * second]],
  );
  assert.is(player.view().cachedPrefixes.get(reweightedKey), undefined);
});

test('after the entry cold prefills stay paced per range, and the former owner serves the rest', () => {
  const player = openNode();
  player.play({ type: 'list', at: 10 * second, list: joinList }, { type: 'tick', at: 20 * second });
  const range = player.view().topology.services.get('model')?.settling[0]?.ranges[0];
  if (range === undefined) throw new Error('no range was previewed');
  const prefixes = Array.from({ length: 20_000 }, (_, index) => `p${index}`).filter((name) =>
    rangeContains(range, positionOf(name)),
  );
  const reasons = prefixes
    .slice(0, 3)
    .map(
      (prefix, index) =>
        runExchange(player, { at: 20 * second + index, exchange: `e${index}`, prefix })[0]?.reason.type,
    );
  assert.equal(reasons, ['settling', 'paced-back', 'paced-back']);
  const again = runExchange(player, { at: 20 * second + 9, exchange: 'again', prefix: prefixes[0] ?? '' })[0];
  assert.is(again?.server, joinerKey);
});

test('a leaving server hands its prefixes over at the pace, and gets no exchanges after its grace', () => {
  const leavingServer = { ...(initialServers[0] ?? joiner), state: 'leaving' as const, leavingAtUs: 100 * second };
  const leavingKey = serverKeyOf(leavingServer);
  const player = openNode();
  const prefixes = Array.from({ length: 200 }, (_, index) => `p${index}`);
  prefixes.forEach((prefix, index) => runExchange(player, { at: index, exchange: `w${index}`, prefix }));
  const ownedBefore = deliveriesIn(player.all()).filter((deliver) => deliver.server === leavingKey).length;
  player.play({
    type: 'list',
    at: 10 * second,
    list: listOf(2, 100 * second, [leavingServer, ...initialServers.slice(1)]),
  });
  prefixes.forEach((prefix, index) => runExchange(player, { at: 10 * second + index, exchange: `x${index}`, prefix }));
  const duringGrace = deliveriesIn(player.all()).filter((deliver) => deliver.at >= 10 * second);
  const handedOver = duringGrace.filter((deliver) => deliver.reason.type === 'handing-over').length;
  assert.ok(handedOver > 0 && handedOver < ownedBefore, `${handedOver} of ${ownedBefore} handed over at once`);
  prefixes.forEach((prefix, index) => runExchange(player, { at: 12 * second + index, exchange: `y${index}`, prefix }));
  const afterGrace = deliveriesIn(player.all()).filter((deliver) => deliver.at >= 12 * second);
  assert.is(afterGrace.filter((deliver) => deliver.server === leavingKey).length, 0);
});

test('a server that is listed as leaving again, with a later time, gets no exchanges after its first grace', () => {
  const [first = joiner, ...others] = initialServers;
  const leaving = (leavingAtUs: number) => ({ ...first, state: 'leaving' as const, leavingAtUs });
  const player = openNode();
  player.play(
    { type: 'list', at: 10 * second, list: listOf(2, 100 * second, [leaving(100 * second), ...others]) },
    { type: 'list', at: 13 * second, list: listOf(3, 103 * second, [leaving(103 * second), ...others]) },
  );
  for (let index = 0; index < 100; index += 1)
    runExchange(player, { at: 13 * second + index, exchange: `e${index}`, prefix: `p${index}` });
  assert.is(deliveriesIn(player.all()).filter((deliver) => deliver.server === serverKeyOf(first)).length, 0);
});

test('a new number of vnodes is a rebalance: a migration is pending until its commit, then the new ring is in effect', () => {
  const player = openNode();
  const denserSetup = { ...setup, warmup: { ...warmup, vnodes: 16 } };
  const record = {
    ...recordOf(denserSetup, 2, 100 * second),
    epochs: [
      { sinceUs: 0, warmup },
      { sinceUs: 100 * second, warmup: denserSetup.warmup },
    ],
  };
  player.play({ type: 'setup', at: 10 * second, record });
  const stage = player.view().topology.services.get('model');
  assert.is(stage?.pending[0]?.type, 'rebalance');
  assert.is(stage?.ring.vnodes.length, 4 * 8);
  player.play({ type: 'tick', at: 20 * second });
  assert.is(player.view().topology.services.get('model')?.ring.vnodes.length, 4 * 16);
});

test('a server with a booking serves before its entry only if no server of the ring is usable', () => {
  const player = openNode();
  player.play({ type: 'list', at: 10 * second, list: joinList });
  for (const server of initialServers) player.play({ type: 'dark', at: 11 * second, server: serverKeyOf(server) });
  const [deliver] = deliveriesIn(
    player.play({ type: 'exchange', at: 12 * second, exchange: 'e1', kind: 'ask', prefix: 'p1' }),
  );
  assert.is(deliver?.server, joinerKey);
  assert.is(deliver?.reason.type, 'emergency');
  if (deliver !== undefined) completeAttempt(player, 12 * second, deliver);
});

test.run();
