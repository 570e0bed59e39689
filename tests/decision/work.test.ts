import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { prefillRateOf, uncachedTokensAt, waitUsOf } from '../../src/decision/work/prefill-estimate.js';
import { prefixTextOf, workOf } from '../../src/decision/work/work-of.js';
import { prefixOf } from '../../src/decision/ring/prefix.js';
import type { OpeningPart } from '../../src/router/opaque/opening-part.js';
import { initialServersAt, listOf, recordOf, second, setup } from './fixtures.js';
import { deliveriesIn, openPlayer, decisionTypesOf, type Delivery, type Player } from './player.js';

const setupWithTarget = { ...setup, rules: setup.rules.map((rule) => ({ ...rule, targetUs: second, mostTries: 2 })) };

const openNode = (): Player => {
  const player = openPlayer();
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf(setupWithTarget) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, initialServersAt(4, 0)) },
  );
  return player;
};

const opening: readonly OpeningPart[] = [
  { part: 'a1', tokens: 500 },
  { part: 'b2', tokens: 4_500 },
  { part: 'own', tokens: 7_000 },
];

const send = (player: Player, at: number, exchange: string, parts: readonly OpeningPart[], kind = 'ask'): Delivery => {
  const work = workOf('model', parts, 0, 400);
  const prefix = prefixOf('model', prefixTextOf(parts));
  const [deliver] = deliveriesIn(player.play({ type: 'exchange', at, exchange, kind, prefix, work }));
  if (deliver === undefined) throw new Error('no delivery was decided');
  return deliver;
};

test('the work lists each shared prefix of the prompt; the last part is not shared', () => {
  const work = workOf('model', opening, 0, 400);
  assert.equal(
    work.levels.map((level) => level.tokens),
    [500, 5_000],
  );
  assert.is(work.readTokens, 12_000);
  assert.is(work.levels[1]?.prefix, prefixOf('model', 'a1,b2'));
  assert.is(prefixTextOf(opening), 'a1,b2');
});

test('only tokens that this node has not seen the server prefill count as uncached', () => {
  const player = openNode();
  const deliver = send(player, 1, 'e1', opening);
  const work = workOf('model', opening, 0, 400);
  assert.is(deliver.tokens, 12_000);
  assert.is(uncachedTokensAt(player.view(), deliver.server, work), 12_000);
  player.play(
    { type: 'sent', at: 2, exchange: 'e1', attempt: 1 },
    { type: 'firstPiece', at: 300_000, exchange: 'e1', attempt: 1 },
  );
  assert.is(uncachedTokensAt(player.view(), deliver.server, work), 7_000);
  const siblingOpening: readonly OpeningPart[] = [
    { part: 'a1', tokens: 500 },
    { part: 'other', tokens: 100 },
    { part: 'mine', tokens: 10 },
  ];
  assert.is(uncachedTokensAt(player.view(), deliver.server, workOf('model', siblingOpening, 0, 1)), 110);
});

test('the prefill rate of a service is measured by first pieces of idle servers, and determines the estimated waits', () => {
  const player = openNode();
  const deliver = send(player, 1, 'e1', opening);
  assert.ok(waitUsOf(player.view(), deliver.server) > 200_000);
  player.play(
    { type: 'sent', at: 2, exchange: 'e1', attempt: 1 },
    { type: 'firstPiece', at: 140_001, exchange: 'e1', attempt: 1 },
  );
  assert.is(Math.round(prefillRateOf(player.view(), 'model')), 100_000);
});

test('an exchange that would miss its target behind long prefills goes to a server with an earlier first piece', () => {
  const player = openNode();
  const { server } = send(player, 1, 'e1', opening);
  player.play({ type: 'work', at: 2, server, service: 'model', tokens: 60_000 });
  const rerouted = send(player, 3, 'e2', opening, 'draft');
  assert.is.not(rerouted.server, server);
  assert.is(rerouted.reason.type, 'spill');
});

test('an exchange that still meets its target stays with the owner of its prefix', () => {
  const player = openNode();
  const { server } = send(player, 1, 'e1', opening);
  player.play(
    { type: 'sent', at: 2, exchange: 'e1', attempt: 1 },
    { type: 'firstPiece', at: 240_000, exchange: 'e1', attempt: 1 },
  );
  player.play({ type: 'work', at: 400_000, server, service: 'model', tokens: 10_000 });
  assert.is(send(player, 400_001, 'e2', opening).server, server);
});

test('a short prefill is more urgent than a long one', () => {
  const player = openNode();
  const small = send(player, 1, 'e1', [
    { part: 's', tokens: 100 },
    { part: 'own', tokens: 300 },
  ]);
  const large = send(player, 2, 'e2', [
    { part: 'l', tokens: 100 },
    { part: 'own', tokens: 40_000 },
  ]);
  assert.ok((small.urgency ?? 9) < (large.urgency ?? 0));
});

test('prefixes with a large common first part hash to different positions and spread over all servers', () => {
  const player = openPlayer();
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf(setup) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, initialServersAt(12, 0)) },
  );
  const counts = new Map<string, number>();
  for (let index = 0; index < 240; index += 1) {
    const { server, attempt } = send(player, index + 1, `e${index}`, [
      { part: 'f', tokens: 3_000 },
      { part: `s${index}`, tokens: 20 },
      { part: 'own', tokens: 9 },
    ]);
    player.play({ type: 'done', at: index + 1, exchange: `e${index}`, attempt });
    counts.set(server, (counts.get(server) ?? 0) + 1);
  }
  assert.is(counts.size, 12);
  assert.ok(Math.max(...counts.values()) < 240 / 4, [...counts.values()].join());
});

test('a run-once exchange that the server guarantees not to have run is refused, not unknown, if there is no budget for a retry', () => {
  const player = openNode();
  const deliver = send(player, 1, 'e1', opening, 'record');
  player.play({ type: 'sent', at: 2, exchange: 'e1', attempt: 1 });
  const next = deliveriesIn(
    player.play({
      type: 'failed',
      at: 3,
      exchange: 'e1',
      attempt: 1,
      sent: true,
      pieces: 0,
      error: 'turned-away',
      notRun: true,
    }),
  );
  assert.is(next.length, 0, 'a node that has just started has no budget for a retry');
  assert.equal(decisionTypesOf(player.all()).slice(-1), ['refuse']);
  assert.is(player.view().exchanges.size, 0);
  assert.ok(deliver.server !== '');
});

test('the rule bounds the number of servers that an exchange is sent to', () => {
  const player = openNode();
  for (let index = 0; index < 40; index += 1) {
    const at = 11 * second + index * 1_000;
    const deliver = send(player, at, `f${index}`, [{ part: `p${index}`, tokens: 10 }]);
    player.play(
      { type: 'sent', at, exchange: deliver.exchange, attempt: 1 },
      { type: 'done', at: at + 500, exchange: deliver.exchange, attempt: 1 },
    );
  }
  const at = 13 * second;
  send(player, at, 'e1', opening);
  player.play({ type: 'sent', at, exchange: 'e1', attempt: 1 });
  const secondTry = deliveriesIn(
    player.play({ type: 'failed', at: at + 1, exchange: 'e1', attempt: 1, sent: true, pieces: 0, error: 'link-lost' }),
  );
  assert.is(secondTry.length, 1);
  player.play({ type: 'sent', at: at + 2, exchange: 'e1', attempt: 2 });
  const third = player.play({
    type: 'failed',
    at: at + 3,
    exchange: 'e1',
    attempt: 2,
    sent: true,
    pieces: 0,
    error: 'link-lost',
  });
  assert.equal(decisionTypesOf(third), ['unknown']);
});

test.run();
