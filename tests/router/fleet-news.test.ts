import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { readLoad } from '../../platform/server/read-load.js';
import { openCounters } from '../../src/process/counters.js';
import { openFleetNews } from '../../src/process/router/fleet-news.js';
import type { Frame } from '../../src/spread/frame/frame.js';
import { isFrame } from '../../src/spread/frame/frame-guard.js';
import { initialGossipView, type GossipView } from '../../src/spread/machine/gossip-view.js';
import type { Peer } from '../../src/spread/peer/peer.js';

const self: Peer = { node: 'r0', role: 'router', address: 'r0:1', http: 'r0:2', locality: 'a' };

const viewWith = (routers: number): GossipView => {
  let { partners } = initialGossipView(self, []);
  const known = (partner: Peer) => ({ partner, incarnation: 1, heardUs: 0, suspectUs: undefined });
  for (let place = 1; place <= routers; place += 1) {
    const address = `r${place}:1`;
    partners = partners.set(address, known({ ...self, node: `r${place}`, address }));
  }
  partners = partners.set('c:1', known({ ...self, node: 'c', role: 'control', address: 'c:1' }));
  return { ...initialGossipView(self, []), partners };
};

const opened = (routers = 3) => {
  const sent: (readonly [string, Frame])[] = [];
  let nowUs = 1_000_000;
  const view = viewWith(routers);
  const news = openFleetNews(
    { view: () => view, send: (address, frame) => void sent.push([address, frame]) },
    { now: () => nowUs, after: () => () => undefined },
    openCounters(),
  );
  return {
    news,
    take: () => sent.splice(0),
    pass: (span: number) => {
      nowUs += span;
    },
  };
};

test('a failure is told to every router and to no core machine, once in a while', () => {
  const { news, take, pass } = opened();
  news.failure('s/1', 'failed');
  news.failure('s/1', 'unreachable');
  const told = take();
  assert.equal(told.map(([address]) => address).sort(), ['r1:1', 'r2:1', 'r3:1']);
  assert.ok(told.every(([, frame]) => isFrame(frame)));
  news.failure('t/1', 'failed');
  assert.is(take().length, 3);
  pass(400_000);
  news.failure('s/1', 'failed');
  assert.is(take().length, 3);
});

test('only a crowded server is told of, and not again soon, whoever has told it', () => {
  const { news, take, pass } = opened();
  news.load('s/1', { running: 30, waiting: 0, slots: 64 });
  assert.equal(take(), []);
  news.load('s/1', { running: 64, waiting: 3, slots: 64 });
  const told = take();
  assert.is(told.length, 3);
  assert.ok(told.every(([, frame]) => isFrame(frame)));
  news.load('s/1', { running: 64, waiting: 4, slots: 64 });
  assert.equal(take(), []);
  pass(300_000);
  news.heardLoad('s/1');
  news.load('s/1', { running: 64, waiting: 4, slots: 64 });
  assert.equal(take(), []);
});

test('work is told of where it keeps its server busy for a while, its own or what came before it', () => {
  const { news, take } = opened(60);
  news.work('s/1', 'model', 4_000, 99_999);
  assert.equal(take(), []);
  news.work('s/1', 'model', 0, 900_000);
  assert.equal(take(), [], 'nothing is to be read');
  news.work('s/1', 'model', 9_000, 100_000);
  assert.is(take().length, 60);
  news.work('s/1', 'model', 500, 300_000);
  assert.is(take().length, 60);
});

test('a load is read in whole form only', () => {
  assert.equal(readLoad('3,0,8'), { running: 3, waiting: 0, slots: 8 });
  assert.equal(readLoad(' 3 , 1 , 8 '), { running: 3, waiting: 1, slots: 8 });
  for (const text of [undefined, '', '3,0', '3,0,8,1', '-1,0,8', '3,x,8', '3.5,0,8'])
    assert.is(readLoad(text), undefined);
});

test.run();
