import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import { endWell, ranWell } from './exchanges.js';
import { foundersAt, listOf, recordOf, second, serverOf, setup } from './figures.js';
import { deliversOf, openPlayer, typesOf, type Deliver, type Player } from './player.js';

const web = serverOf('web', 0, { service: 'status', address: '10.0.0.9:1' });
const servers = [...foundersAt(4, 0), web];
const late = 60 * second;

const nodeUnder = (given = setup): Player => {
  const player = openPlayer();
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf(given) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, servers) },
  );
  return player;
};

const send = (player: Player, at: number, exchange: string, kind: string, prefix: string): readonly Deliver[] =>
  deliversOf(player.play({ type: 'exchange', at, exchange, kind, prefix }));

const sentOf = (player: Player, at: number, deliver: Deliver): void =>
  void player.play({ type: 'sent', at, exchange: deliver.exchange, attempt: deliver.attempt });

const failOf = (player: Player, at: number, deliver: Deliver, sent: boolean, pieces = 0) =>
  player.play({
    type: 'failed',
    at,
    exchange: deliver.exchange,
    attempt: deliver.attempt,
    sent,
    pieces,
    error: 'link-lost',
  });

const first = (delivers: readonly Deliver[]): Deliver => {
  const [deliver] = delivers;
  if (deliver === undefined) throw new Error('nothing was delivered');
  return deliver;
};

test('one prefill goes first, followers wait for its first piece and then all go', () => {
  const player = nodeUnder();
  const leader = first(send(player, 1, 'e1', 'ask', 'p'));
  const held = [2, 3, 4].map((at) =>
    player.play({ type: 'exchange', at, exchange: `e${at}`, kind: 'ask', prefix: 'p' }),
  );
  assert.equal(held.map(typesOf), [['hold'], ['hold'], ['hold']]);
  sentOf(player, 5, leader);
  const released = player.play({ type: 'firstPiece', at: 6, exchange: 'e1', attempt: 1 });
  assert.equal(
    deliversOf(released).map((deliver) => [deliver.exchange, deliver.server, deliver.reason.cold]),
    [
      ['e2', leader.server, false],
      ['e3', leader.server, false],
      ['e4', leader.server, false],
    ],
  );
});

test('followers wait no longer than the bound, and an exchange never shares an answer', () => {
  const player = nodeUnder();
  first(send(player, 1, 'e1', 'ask', 'p'));
  player.play({ type: 'exchange', at: 2, exchange: 'e2', kind: 'ask', prefix: 'p' });
  assert.equal(typesOf(player.play({ type: 'tick', at: 2 * second + 1 })), []);
  const released = deliversOf(player.play({ type: 'tick', at: 2 * second + 2 }));
  assert.equal(
    released.map((deliver) => deliver.exchange),
    ['e2'],
  );
});

test('when the first prefill breaks, the next follower leads', () => {
  const player = nodeUnder();
  const leader = first(send(player, 1, 'e1', 'record', 'p'));
  player.play(
    { type: 'exchange', at: 2, exchange: 'e2', kind: 'ask', prefix: 'p' },
    { type: 'exchange', at: 3, exchange: 'e3', kind: 'ask', prefix: 'p' },
  );
  sentOf(player, 4, leader);
  const after = failOf(player, 5, leader, true);
  assert.equal(typesOf(after), ['unknown', 'deliver', 'hold']);
  assert.equal(
    deliversOf(after).map((deliver) => deliver.exchange),
    ['e2'],
  );
});

test('a hot opening spills to the next owners of the ring once its owner is pressed', () => {
  const player = nodeUnder();
  ranWell(player, { at: 1, exchange: 'warm', prefix: 'hot' });
  const reached = Array.from({ length: 12 }, (_, place) => send(player, 2 + place, `e${place}`, 'ask', 'hot')).flat();
  const owner = reached[0]?.server;
  assert.ok(reached.filter((deliver) => deliver.server === owner).length <= 8);
  const spilled = reached.find((deliver) => deliver.reason.type === 'spill');
  assert.is(spilled?.server, spilled?.reason.owners[1]);
});

test('a run-once exchange is tried elsewhere only while nothing has left, and is never refused after', () => {
  const player = nodeUnder();
  const one = first(send(player, late, 'e1', 'record', 'p'));
  const two = first(deliversOf(failOf(player, late + 1, one, false)));
  assert.is.not(two.server, one.server);
  assert.is(two.extra, false);
  sentOf(player, late + 2, two);
  assert.equal(failOf(player, late + 3, two, true), [
    { at: late + 3, type: 'unknown', exchange: 'e1', error: 'outcome-unknown' },
  ]);

  const broken = first(send(player, late + 4, 'e2', 'record', 'q'));
  sentOf(player, late + 5, broken);
  player.play({ type: 'firstPiece', at: late + 6, exchange: 'e2', attempt: 1 });
  assert.equal(typesOf(failOf(player, late + 7, broken, true, 3)), ['breakOff']);
});

test('a refusal comes only when nothing was ever sent', () => {
  const player = nodeUnder();
  let deliver = first(send(player, late, 'e1', 'record', 'p'));
  const ends: string[] = [];
  for (let step = 1; step <= 4; step += 1) {
    const decisions = failOf(player, late + step, deliver, false);
    ends.push(...typesOf(decisions));
    const [next] = deliversOf(decisions);
    if (next !== undefined) deliver = next;
  }
  assert.equal(ends, ['deliver', 'deliver', 'deliver', 'refuse']);

  const repeatable = nodeUnder();
  let tried = first(send(repeatable, late, 'e1', 'ask', 'p'));
  sentOf(repeatable, late, tried);
  tried = first(deliversOf(failOf(repeatable, late + 1, tried, true)));
  for (let step = 2; step <= 4; step += 1) {
    const decisions = failOf(repeatable, late + step, tried, false);
    const [next] = deliversOf(decisions);
    if (next !== undefined) tried = next;
    else assert.equal(typesOf(decisions), ['unknown']);
  }
});

test('a stream is carried over at exactly its next piece, where that is allowed', () => {
  const player = nodeUnder();
  const one = first(send(player, late, 'e1', 'ask', 'p'));
  sentOf(player, late + 1, one);
  player.play({ type: 'firstPiece', at: late + 2, exchange: 'e1', attempt: 1 });
  const two = first(deliversOf(failOf(player, late + 3, one, true, 7)));
  assert.is(two.fromPiece, 7);
  assert.is(two.extra, true);
  assert.is.not(two.server, one.server);

  const other = first(send(player, late + 4, 'e2', 'draft', 'q'));
  sentOf(player, late + 5, other);
  player.play({ type: 'firstPiece', at: late + 6, exchange: 'e2', attempt: 1 });
  assert.equal(typesOf(failOf(player, late + 7, other, true, 2)), ['breakOff']);
});

test('extra tries stay within a fifth of own tries and a share of the constant, none of it just after the start', () => {
  const extrasOf = (startAt: number, exchanges: number): number => {
    const player = nodeUnder({ ...setup, fleet: { routers: 6 } });
    let extras = 0;
    for (let place = 0; place < exchanges; place += 1) {
      const at = startAt + place * 10_000;
      for (const deliver of send(player, at, `e${place}`, 'ask', `p${place}`)) {
        sentOf(player, at, deliver);
        const again = deliversOf(failOf(player, at, deliver, true));
        extras += again.length;
        for (const deliverAgain of again) {
          sentOf(player, at, deliverAgain);
          failOf(player, at, deliverAgain, true);
        }
      }
    }
    return extras;
  };
  assert.is(extrasOf(0, 4), 0);
  assert.is(extrasOf(0, 5), 1);
  assert.is(extrasOf(late, 1), 1);
  assert.is(extrasOf(late, 100), 22, 'every span pays for itself');
});

test('a silent server is left after the first-piece budget, by repeatable kinds only', () => {
  const player = nodeUnder();
  const one = first(send(player, late, 'e1', 'ask', 'p'));
  const once = first(send(player, late, 'e2', 'record', 'q'));
  sentOf(player, late, one);
  sentOf(player, late, once);
  assert.equal(typesOf(player.play({ type: 'tick', at: late + 5 * second })), ['cancel', 'deliver']);
});

test('a passed budget is a refusal when nothing was sent, unknown when something was, a visible break in a stream', () => {
  const player = nodeUnder();
  const unsent = first(send(player, late, 'e1', 'check', 'p'));
  const sent = first(send(player, late, 'e2', 'record', 'q'));
  const started = first(send(player, late, 'e3', 'record', 'r'));
  sentOf(player, late, sent);
  sentOf(player, late, started);
  player.play({ type: 'firstPiece', at: late, exchange: 'e3', attempt: 1 });
  const ends = new Map(
    player
      .play({ type: 'tick', at: late + 60 * second })
      .flatMap((decision) =>
        decision.type === 'cancel' || decision.type === 'deliver'
          ? []
          : ['exchange' in decision ? ([decision.exchange, decision.type] as const) : (['', ''] as const)],
      ),
  );
  assert.equal([ends.get('e1'), ends.get('e2'), ends.get('e3')], ['refuse', 'unknown', 'breakOff']);
  assert.is(unsent.reason.service, 'status');
});

test('in a crowd the lower tier is shed first, and shed exchanges are told when to come back', () => {
  const player = nodeUnder({ ...setup, pressure: { ...setup.pressure, slots: 10 } });
  const outcomes = Array.from({ length: 12 }, (_, place) => {
    const kind = place % 2 === 0 ? 'record' : 'ask';
    return player
      .play({ type: 'exchange', at: place, exchange: `e${place}`, kind, prefix: `p${place}` })
      .some((decision) => decision.type === 'refuse')
      ? kind
      : 'taken';
  });
  assert.equal(outcomes.filter((outcome) => outcome === 'record').length, 3);
  assert.equal(outcomes.filter((outcome) => outcome === 'ask').length, 0);
  const [refusal] = player.all().filter((decision) => decision.type === 'refuse');
  assert.ok(refusal?.type === 'refuse' && refusal.error === 'over-pressure' && refusal.retryAfterUs > 0);
});

test('late words of a former try change nothing', () => {
  const player = nodeUnder();
  const one = first(send(player, late, 'e1', 'ask', 'p'));
  sentOf(player, late, one);
  const two = first(deliversOf(failOf(player, late + 1, one, true)));
  const before = player.view().exchanges.get('e1');
  player.play(
    { type: 'firstPiece', at: late + 2, exchange: 'e1', attempt: 1 },
    { type: 'done', at: late + 2, exchange: 'e1', attempt: 1 },
  );
  assert.equal(player.view().exchanges.get('e1'), before);
  endWell(player, late + 3, two);
  assert.is(player.view().exchanges.size, 0);
  assert.is(player.view().pressure.size, 0);
  assert.is(player.view().flights.size, 0);
});

test('the address of a server that is gone gets nothing for its former service', () => {
  const player = nodeUnder();
  const reused = serverOf('other', 95 * second, { service: 'status', address: servers[0]?.address ?? '' });
  player.play({ type: 'list', at: 5 * second, list: listOf(2, 95 * second, [...servers.slice(1), reused]) });
  const reusedKey = serverKeyOf(reused);
  for (let place = 0; place < 100; place += 1)
    ranWell(player, { at: 5 * second + place, exchange: `e${place}`, prefix: `p${place}` });
  assert.is(deliversOf(player.all()).filter((deliver) => deliver.server === reusedKey).length, 0);
});

test.run();
