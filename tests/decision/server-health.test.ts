import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import { loadReportTtlUs } from '../../src/decision/health/server-load.js';
import { completeAttempt, runExchange } from './exchanges.js';
import { initialServersAt, listOf, recordOf, second, serverOf } from './fixtures.js';
import { deliveriesIn, openPlayer, type Delivery, type Player } from './player.js';

const webServer = (id: string) => serverOf(id, 0, { service: 'status' });

const openNode = (models = 6): Player => {
  const player = openPlayer();
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf() },
    {
      type: 'list',
      at: 0,
      list: listOf(1, 90 * second, [
        ...initialServersAt(models, 0),
        webServer('wa'),
        webServer('wb'),
        webServer('wc'),
        webServer('wd'),
      ]),
    },
  );
  return player;
};

let count = 0;

/** The delivery of one exchange with a prefix, which completes at once. */
const send = (player: Player, at: number, prefix = 'one', kind = 'ask'): Delivery => {
  count += 1;
  const [deliver] = runExchange(player, { at, exchange: `e${count}`, kind, prefix });
  if (deliver === undefined) throw new Error('no delivery was decided');
  return deliver;
};

const fail = (player: Player, at: number, server: string, times: number): void => {
  for (let failure = 0; failure < times; failure += 1) player.play({ type: 'failure', at, server, cause: 'failed' });
};

test('a server with several recent failures at any router is ejected for a while and then gets traffic again', () => {
  const player = openNode();
  const owner = send(player, 1).server;
  fail(player, 2, owner, 2);
  assert.is(send(player, 3).server, owner, 'two failures may be random and do not eject it');
  fail(player, 4, owner, 1);
  const rerouted = send(player, 5);
  assert.is.not(rerouted.server, owner);
  assert.is(rerouted.reason.type, 'failing-owner');
  assert.is(send(player, second).server, owner, 'the ejection ends');
  player.play({ type: 'failure', at: 12 * second, server: owner, cause: 'unreachable' });
  assert.is(send(player, 12 * second + 1).server, owner, 'old failures no longer count');
  player.play({ type: 'failure', at: 12 * second + 2, server: owner, cause: 'unreachable' });
  assert.is.not(send(player, 12 * second + 3).server, owner, 'two failed connections are enough');
});

test('if more than a third of the servers fail, none is ejected', () => {
  const player = openNode();
  const owner = send(player, 1).server;
  fail(player, 2, owner, 3);
  const secondOwner = send(player, 3).server;
  fail(player, 4, secondOwner, 3);
  const thirdOwner = send(player, 5).server;
  assert.ok(![owner, secondOwner].includes(thirdOwner));
  fail(player, 6, thirdOwner, 3);
  assert.is(send(player, 7).server, owner);
});

test('a saturated owner is skipped until it reports room or its report expires', () => {
  const player = openNode();
  const owner = send(player, 1).server;
  const load = (at: number, running: number, waiting: number) =>
    player.play({ type: 'load', at, server: owner, running, waiting, slots: 64 });
  load(2, 40, 0);
  assert.is(send(player, 3).server, owner);
  load(4, 50, 8);
  const spilled = send(player, 5);
  assert.is.not(spilled.server, owner);
  assert.is(spilled.reason.type, 'spill');
  load(6, 20, 0);
  assert.is(send(player, 7).server, owner);
  load(8, 64, 30);
  assert.is.not(send(player, 9).server, owner);
  assert.is(send(player, 8 + loadReportTtlUs).server, owner);
});

test('if every server is saturated, the owner keeps its prefix', () => {
  const player = openNode();
  const owner = send(player, 1).server;
  for (const server of initialServersAt(6, 0).map(serverKeyOf))
    player.play({ type: 'load', at: 2, server, running: 64, waiting: 9, slots: 64 });
  const servers = [...player.view().loads.keys()];
  assert.ok(servers.includes(owner), `${servers.join()} ${owner}`);
  assert.is(send(player, 3).server, owner);
});

test('a web service spreads over its servers and skips those that are ejected or saturated', () => {
  const player = openNode();
  const counts = new Map<string, number>();
  for (let index = 0; index < 200; index += 1) {
    const { server } = send(player, 10 + index, `x${index}`, 'check');
    counts.set(server, (counts.get(server) ?? 0) + 1);
  }
  assert.is(counts.size, 4);
  const [busy = '', failing = ''] = [...counts.keys()];
  player.play({ type: 'load', at: 300, server: busy, running: 6, waiting: 2, slots: 6 });
  fail(player, 300, failing, 3);
  for (let index = 0; index < 50; index += 1) {
    const { server } = send(player, 301 + index, `y${index}`, 'check');
    assert.ok(server !== busy && server !== failing);
  }
});

test('if all web servers are in use, the least loaded one is chosen', () => {
  const player = openNode();
  const running: Delivery[] = [];
  for (let index = 0; index < 4; index += 1) {
    const [deliver] = deliveriesIn(
      player.play({ type: 'exchange', at: 10, exchange: `h${index}`, kind: 'check', prefix: `h${index}` }),
    );
    if (deliver !== undefined) running.push(deliver);
  }
  assert.is(new Set(running.map(({ server }) => server)).size, 4);
  for (const { server } of running.slice(1))
    player.play({ type: 'load', at: 11, server, running: 4, waiting: 0, slots: 6 });
  const [next] = deliveriesIn(player.play({ type: 'exchange', at: 12, exchange: 'h5', kind: 'check', prefix: 'h5' }));
  assert.is(next?.server, running[0]?.server);
  for (const deliver of running) completeAttempt(player, 13, deliver);
});

test.run();
