import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import { loadLifeUs } from '../../src/decision/health/server-load.js';
import { endWell, ranWell } from './exchanges.js';
import { foundersAt, listOf, recordOf, second, serverOf } from './figures.js';
import { deliversOf, openPlayer, type Deliver, type Player } from './player.js';

const web = (id: string) => serverOf(id, 0, { service: 'status' });

const opened = (models = 6): Player => {
  const player = openPlayer();
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf() },
    {
      type: 'list',
      at: 0,
      list: listOf(1, 90 * second, [...foundersAt(models, 0), web('wa'), web('wb'), web('wc'), web('wd')]),
    },
  );
  return player;
};

let count = 0;

/** The delivery of one exchange of a prefix, which ends well at once. */
const send = (player: Player, at: number, prefix = 'one', kind = 'ask'): Deliver => {
  count += 1;
  const [deliver] = ranWell(player, { at, exchange: `e${count}`, kind, prefix });
  if (deliver === undefined) throw new Error('nothing was delivered');
  return deliver;
};

const fail = (player: Player, at: number, server: string, times: number): void => {
  for (let time = 0; time < times; time += 1) player.play({ type: 'failure', at, server, cause: 'failed' });
};

test('a server that failed several times of late, wherever, is passed over for a while and then tried again', () => {
  const player = opened();
  const owner = send(player, 1).server;
  fail(player, 2, owner, 2);
  assert.is(send(player, 3).server, owner, 'two failures may be chance');
  fail(player, 4, owner, 1);
  const passed = send(player, 5);
  assert.is.not(passed.server, owner);
  assert.is(passed.reason.type, 'failing-owner');
  assert.is(send(player, second).server, owner, 'after a while it is tried as before');
  player.play({ type: 'failure', at: 12 * second, server: owner, cause: 'unreachable' });
  assert.is(send(player, 12 * second + 1).server, owner, 'old failures count no more');
  player.play({ type: 'failure', at: 12 * second + 2, server: owner, cause: 'unreachable' });
  assert.is.not(send(player, 12 * second + 3).server, owner, 'two that did not reach it are enough');
});

test('where more than a third of the servers fail, none is passed over', () => {
  const player = opened();
  const owner = send(player, 1).server;
  fail(player, 2, owner, 3);
  const second1 = send(player, 3).server;
  fail(player, 4, second1, 3);
  const third = send(player, 5).server;
  assert.ok(![owner, second1].includes(third));
  fail(player, 6, third, 3);
  assert.is(send(player, 7).server, owner);
});

test('a crowded owner is passed over until it tells of room, or what it told is old', () => {
  const player = opened();
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
  assert.is(send(player, 8 + loadLifeUs).server, owner);
});

test('where every server is crowded the owner keeps what is its own', () => {
  const player = opened();
  const owner = send(player, 1).server;
  for (const server of foundersAt(6, 0).map(serverKeyOf))
    player.play({ type: 'load', at: 2, server, running: 64, waiting: 9, slots: 64 });
  const servers = [...player.view().loads.keys()];
  assert.ok(servers.includes(owner), `${servers.join()} ${owner}`);
  assert.is(send(player, 3).server, owner);
});

test('a web service spreads over its servers, and passes over those that fail or are crowded', () => {
  const player = opened();
  const counts = new Map<string, number>();
  for (let place = 0; place < 200; place += 1) {
    const { server } = send(player, 10 + place, `x${place}`, 'check');
    counts.set(server, (counts.get(server) ?? 0) + 1);
  }
  assert.is(counts.size, 4);
  const [busy = '', failing = ''] = [...counts.keys()];
  player.play({ type: 'load', at: 300, server: busy, running: 6, waiting: 2, slots: 6 });
  fail(player, 300, failing, 3);
  for (let place = 0; place < 50; place += 1) {
    const { server } = send(player, 301 + place, `y${place}`, 'check');
    assert.ok(server !== busy && server !== failing);
  }
});

test('of web servers that are all in use the one with most room is taken', () => {
  const player = opened();
  const held: Deliver[] = [];
  for (let place = 0; place < 4; place += 1) {
    const [deliver] = deliversOf(
      player.play({ type: 'exchange', at: 10, exchange: `h${place}`, kind: 'check', prefix: `h${place}` }),
    );
    if (deliver !== undefined) held.push(deliver);
  }
  assert.is(new Set(held.map(({ server }) => server)).size, 4);
  for (const { server } of held.slice(1))
    player.play({ type: 'load', at: 11, server, running: 4, waiting: 0, slots: 6 });
  const [next] = deliversOf(player.play({ type: 'exchange', at: 12, exchange: 'h5', kind: 'check', prefix: 'h5' }));
  assert.is(next?.server, held[0]?.server);
  for (const deliver of held) endWell(player, 13, deliver);
});

test.run();
