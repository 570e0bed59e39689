import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import { completeAttempt, runExchange } from './exchanges.js';
import { initialServersAt, listOf, recordOf, second, serverOf, setup } from './fixtures.js';
import { deliveriesIn, openPlayer, decisionTypesOf, type Delivery, type Player } from './player.js';

const web = serverOf('web', 0, { service: 'status', address: '10.0.0.9:1' });
const servers = [...initialServersAt(4, 0), web];
/** A time at which the node has been up for longer than the window of the retry budget. */
const afterWindowUs = 60 * second;

const openNode = (configuration = setup): Player => {
  const player = openPlayer();
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf(configuration) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, servers) },
  );
  return player;
};

const send = (player: Player, at: number, exchange: string, kind: string, prefix: string): readonly Delivery[] =>
  deliveriesIn(player.play({ type: 'exchange', at, exchange, kind, prefix }));

const markSent = (player: Player, at: number, deliver: Delivery): void =>
  void player.play({ type: 'sent', at, exchange: deliver.exchange, attempt: deliver.attempt });

const fail = (player: Player, at: number, deliver: Delivery, sent: boolean, pieces = 0) =>
  player.play({
    type: 'failed',
    at,
    exchange: deliver.exchange,
    attempt: deliver.attempt,
    sent,
    pieces,
    error: 'link-lost',
  });

const first = (delivers: readonly Delivery[]): Delivery => {
  const [deliver] = delivers;
  if (deliver === undefined) throw new Error('no delivery was decided');
  return deliver;
};

// Guards against: a stream whose position no server can be told is run again from an older place.
test('a started stream whose position is not known is broken off, also where it may be resumed', () => {
  const player = openNode();
  const leader = first(send(player, 1, 'e1', 'ask', 'p'));
  markSent(player, 2, leader);
  player.play({ type: 'firstPiece', at: 3, exchange: 'e1', attempt: 1 });
  const failed = { type: 'failed', exchange: 'e1', attempt: 1, sent: true, pieces: 2, error: 'link-lost' } as const;
  assert.equal(decisionTypesOf(player.play({ ...failed, at: 4, positionUnknown: true })), ['breakOff']);
});

test('followers of a cold prefix are held until the first piece of the leader, then all are sent to its server', () => {
  const player = openNode();
  const leader = first(send(player, 1, 'e1', 'ask', 'p'));
  const held = [2, 3, 4].map((at) =>
    player.play({ type: 'exchange', at, exchange: `e${at}`, kind: 'ask', prefix: 'p' }),
  );
  assert.equal(held.map(decisionTypesOf), [['hold'], ['hold'], ['hold']]);
  markSent(player, 5, leader);
  const released = player.play({ type: 'firstPiece', at: 6, exchange: 'e1', attempt: 1 });
  assert.equal(
    deliveriesIn(released).map((deliver) => [deliver.exchange, deliver.server, deliver.reason.cold]),
    [
      ['e2', leader.server, false],
      ['e3', leader.server, false],
      ['e4', leader.server, false],
    ],
  );
});

test('followers are held no longer than the bound, then each is sent by itself', () => {
  const player = openNode();
  first(send(player, 1, 'e1', 'ask', 'p'));
  player.play({ type: 'exchange', at: 2, exchange: 'e2', kind: 'ask', prefix: 'p' });
  assert.equal(decisionTypesOf(player.play({ type: 'tick', at: 2 * second + 1 })), []);
  const released = deliveriesIn(player.play({ type: 'tick', at: 2 * second + 2 }));
  assert.equal(
    released.map((deliver) => deliver.exchange),
    ['e2'],
  );
});

test('when the leader of a flight fails, the next follower leads', () => {
  const player = openNode();
  const leader = first(send(player, 1, 'e1', 'record', 'p'));
  player.play(
    { type: 'exchange', at: 2, exchange: 'e2', kind: 'ask', prefix: 'p' },
    { type: 'exchange', at: 3, exchange: 'e3', kind: 'ask', prefix: 'p' },
  );
  markSent(player, 4, leader);
  const after = fail(player, 5, leader, true);
  assert.equal(decisionTypesOf(after), ['unknown', 'deliver', 'hold']);
  assert.equal(
    deliveriesIn(after).map((deliver) => deliver.exchange),
    ['e2'],
  );
});

test('a hot prefix spills to the next owners of the ring once its owner reaches the pressure bound', () => {
  const player = openNode();
  runExchange(player, { at: 1, exchange: 'warm', prefix: 'hot' });
  const delivered = Array.from({ length: 12 }, (_, index) => send(player, 2 + index, `e${index}`, 'ask', 'hot')).flat();
  const owner = delivered[0]?.server;
  assert.ok(delivered.filter((deliver) => deliver.server === owner).length <= 8);
  const spilled = delivered.find((deliver) => deliver.reason.type === 'spill');
  assert.is(spilled?.server, spilled?.reason.owners[1]);
});

test('a run-once exchange is tried on another server only if it was not sent, and is never refused after it was', () => {
  const player = openNode();
  const one = first(send(player, afterWindowUs, 'e1', 'record', 'p'));
  const two = first(deliveriesIn(fail(player, afterWindowUs + 1, one, false)));
  assert.is.not(two.server, one.server);
  assert.is(two.extra, false);
  markSent(player, afterWindowUs + 2, two);
  assert.equal(fail(player, afterWindowUs + 3, two, true), [
    { at: afterWindowUs + 3, type: 'unknown', exchange: 'e1', error: 'outcome-unknown' },
  ]);

  const broken = first(send(player, afterWindowUs + 4, 'e2', 'record', 'q'));
  markSent(player, afterWindowUs + 5, broken);
  player.play({ type: 'firstPiece', at: afterWindowUs + 6, exchange: 'e2', attempt: 1 });
  assert.equal(decisionTypesOf(fail(player, afterWindowUs + 7, broken, true, 3)), ['breakOff']);
});

test('an exchange is refused only if nothing was ever sent', () => {
  const player = openNode();
  let deliver = first(send(player, afterWindowUs, 'e1', 'record', 'p'));
  const ends: string[] = [];
  for (let step = 1; step <= 4; step += 1) {
    const decisions = fail(player, afterWindowUs + step, deliver, false);
    ends.push(...decisionTypesOf(decisions));
    const [next] = deliveriesIn(decisions);
    if (next !== undefined) deliver = next;
  }
  assert.equal(ends, ['deliver', 'deliver', 'deliver', 'refuse']);

  const repeatable = openNode();
  let tried = first(send(repeatable, afterWindowUs, 'e1', 'ask', 'p'));
  markSent(repeatable, afterWindowUs, tried);
  tried = first(deliveriesIn(fail(repeatable, afterWindowUs + 1, tried, true)));
  for (let step = 2; step <= 4; step += 1) {
    const decisions = fail(repeatable, afterWindowUs + step, tried, false);
    const [next] = deliveriesIn(decisions);
    if (next !== undefined) tried = next;
    else assert.equal(decisionTypesOf(decisions), ['unknown']);
  }
});

test('a broken stream resumes on another server at exactly its next piece if its kind is resumable', () => {
  const player = openNode();
  const one = first(send(player, afterWindowUs, 'e1', 'ask', 'p'));
  markSent(player, afterWindowUs + 1, one);
  player.play({ type: 'firstPiece', at: afterWindowUs + 2, exchange: 'e1', attempt: 1 });
  const two = first(deliveriesIn(fail(player, afterWindowUs + 3, one, true, 7)));
  assert.is(two.fromPiece, 7);
  assert.is(two.extra, true);
  assert.is.not(two.server, one.server);

  const other = first(send(player, afterWindowUs + 4, 'e2', 'draft', 'q'));
  markSent(player, afterWindowUs + 5, other);
  player.play({ type: 'firstPiece', at: afterWindowUs + 6, exchange: 'e2', attempt: 1 });
  assert.equal(decisionTypesOf(fail(player, afterWindowUs + 7, other, true, 2)), ['breakOff']);
});

test('retries stay within a fifth of the first attempts plus a share of the constant, which is zero just after the start', () => {
  const retriesOf = (startUs: number, exchanges: number): number => {
    const player = openNode({ ...setup, fleet: { routers: 6 } });
    let retries = 0;
    for (let index = 0; index < exchanges; index += 1) {
      const at = startUs + index * 10_000;
      for (const deliver of send(player, at, `e${index}`, 'ask', `p${index}`)) {
        markSent(player, at, deliver);
        const retried = deliveriesIn(fail(player, at, deliver, true));
        retries += retried.length;
        for (const retry of retried) {
          markSent(player, at, retry);
          fail(player, at, retry, true);
        }
      }
    }
    return retries;
  };
  assert.is(retriesOf(0, 4), 0);
  assert.is(retriesOf(0, 5), 1);
  assert.is(retriesOf(afterWindowUs, 1), 1);
  assert.is(retriesOf(afterWindowUs, 100), 22, 'every interval of the window stays within the budget');
});

test('an attempt without a first piece in time is cancelled and retried for repeatable kinds only', () => {
  const player = openNode();
  const one = first(send(player, afterWindowUs, 'e1', 'ask', 'p'));
  const once = first(send(player, afterWindowUs, 'e2', 'record', 'q'));
  markSent(player, afterWindowUs, one);
  markSent(player, afterWindowUs, once);
  assert.equal(decisionTypesOf(player.play({ type: 'tick', at: afterWindowUs + 5 * second })), ['cancel', 'deliver']);
});

test('a passed budget gives a refusal if nothing was sent, unknown if it was sent, a visible break of a started stream', () => {
  const player = openNode();
  const unsent = first(send(player, afterWindowUs, 'e1', 'check', 'p'));
  const sent = first(send(player, afterWindowUs, 'e2', 'record', 'q'));
  const started = first(send(player, afterWindowUs, 'e3', 'record', 'r'));
  markSent(player, afterWindowUs, sent);
  markSent(player, afterWindowUs, started);
  player.play({ type: 'firstPiece', at: afterWindowUs, exchange: 'e3', attempt: 1 });
  const ends = new Map(
    player
      .play({ type: 'tick', at: afterWindowUs + 60 * second })
      .flatMap((decision) =>
        decision.type === 'cancel' || decision.type === 'deliver'
          ? []
          : ['exchange' in decision ? ([decision.exchange, decision.type] as const) : (['', ''] as const)],
      ),
  );
  assert.equal([ends.get('e1'), ends.get('e2'), ends.get('e3')], ['refuse', 'unknown', 'breakOff']);
  assert.is(unsent.reason.service, 'status');
});

test('under overload the lower tier is shed first, and refusals say when to try again', () => {
  const player = openNode({ ...setup, pressure: { ...setup.pressure, slots: 10 } });
  const outcomes = Array.from({ length: 12 }, (_, index) => {
    const kind = index % 2 === 0 ? 'record' : 'ask';
    return player
      .play({ type: 'exchange', at: index, exchange: `e${index}`, kind, prefix: `p${index}` })
      .some((decision) => decision.type === 'refuse')
      ? kind
      : 'taken';
  });
  assert.equal(outcomes.filter((outcome) => outcome === 'record').length, 3);
  assert.equal(outcomes.filter((outcome) => outcome === 'ask').length, 0);
  const [refusal] = player.all().filter((decision) => decision.type === 'refuse');
  assert.ok(refusal?.type === 'refuse' && refusal.error === 'over-pressure' && refusal.retryAfterUs > 0);
});

test('late events of an earlier attempt change nothing', () => {
  const player = openNode();
  const one = first(send(player, afterWindowUs, 'e1', 'ask', 'p'));
  markSent(player, afterWindowUs, one);
  const two = first(deliveriesIn(fail(player, afterWindowUs + 1, one, true)));
  const before = player.view().exchanges.get('e1');
  player.play(
    { type: 'firstPiece', at: afterWindowUs + 2, exchange: 'e1', attempt: 1 },
    { type: 'done', at: afterWindowUs + 2, exchange: 'e1', attempt: 1 },
  );
  assert.equal(player.view().exchanges.get('e1'), before);
  completeAttempt(player, afterWindowUs + 3, two);
  assert.is(player.view().exchanges.size, 0);
  assert.is(player.view().pressure.size, 0);
  assert.is(player.view().flights.size, 0);
});

test('a server that reuses the address of a removed one gets no exchanges of the former service', () => {
  const player = openNode();
  const reused = serverOf('other', 95 * second, { service: 'status', address: servers[0]?.address ?? '' });
  player.play({ type: 'list', at: 5 * second, list: listOf(2, 95 * second, [...servers.slice(1), reused]) });
  const reusedKey = serverKeyOf(reused);
  for (let index = 0; index < 100; index += 1)
    runExchange(player, { at: 5 * second + index, exchange: `e${index}`, prefix: `p${index}` });
  assert.is(deliveriesIn(player.all()).filter((deliver) => deliver.server === reusedKey).length, 0);
});

test.run();
