import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseServerLoad } from '../../platform/server/parse-server-load.js';
import { openCounters } from '../../src/process/counters.js';
import { openServerReports } from '../../src/process/router/server-reports.js';
import type { Frame } from '../../src/spread/frame/frame.js';
import { isFrame } from '../../src/spread/frame/frame-guard.js';
import { initialGossipView, type GossipView } from '../../src/spread/machine/gossip-view.js';
import type { Peer } from '../../src/spread/peer/peer.js';

const self: Peer = { node: 'r0', role: 'router', address: 'r0:1', http: 'r0:2', locality: 'a' };

const viewWith = (routers: number): GossipView => {
  let { partners } = initialGossipView(self, []);
  const knownPeer = (partner: Peer) => ({ partner, incarnation: 1, heardUs: 0, suspectUs: undefined });
  for (let index = 1; index <= routers; index += 1) {
    const address = `r${index}:1`;
    partners = partners.set(address, knownPeer({ ...self, node: `r${index}`, address }));
  }
  partners = partners.set('c:1', knownPeer({ ...self, node: 'c', role: 'control', address: 'c:1' }));
  return { ...initialGossipView(self, []), partners };
};

const openReports = (routers = 3) => {
  const sent: (readonly [string, Frame])[] = [];
  let nowUs = 1_000_000;
  const view = viewWith(routers);
  const reports = openServerReports(
    { view: () => view, send: (address, frame) => void sent.push([address, frame]) },
    { now: () => nowUs, after: () => () => undefined },
    openCounters(),
  );
  return {
    reports,
    takeSent: () => sent.splice(0),
    advance: (durationUs: number) => {
      nowUs += durationUs;
    },
  };
};

test('a failure is reported to every router and no control node, at most once per interval and server', () => {
  const { reports, takeSent, advance } = openReports();
  reports.failure('s/1', 'failed');
  reports.failure('s/1', 'unreachable');
  const frames = takeSent();
  assert.equal(frames.map(([address]) => address).sort(), ['r1:1', 'r2:1', 'r3:1']);
  assert.ok(frames.every(([, frame]) => isFrame(frame)));
  reports.failure('t/1', 'failed');
  assert.is(takeSent().length, 3);
  advance(400_000);
  reports.failure('s/1', 'failed');
  assert.is(takeSent().length, 3);
});

test('only the load of a saturated server is reported, and at most once per interval by any router', () => {
  const { reports, takeSent, advance } = openReports();
  reports.load('s/1', { running: 30, waiting: 0, slots: 64 });
  assert.equal(takeSent(), []);
  reports.load('s/1', { running: 64, waiting: 3, slots: 64 });
  const frames = takeSent();
  assert.is(frames.length, 3);
  assert.ok(frames.every(([, frame]) => isFrame(frame)));
  reports.load('s/1', { running: 64, waiting: 4, slots: 64 });
  assert.equal(takeSent(), []);
  advance(300_000);
  reports.noteLoadReport('s/1');
  reports.load('s/1', { running: 64, waiting: 4, slots: 64 });
  assert.equal(takeSent(), []);
});

test('work is reported if its server stays busy for at least 100 ms, be it from this work or earlier work', () => {
  const { reports, takeSent } = openReports(60);
  reports.work('s/1', 'model', 4_000, 99_999);
  assert.equal(takeSent(), []);
  reports.work('s/1', 'model', 0, 900_000);
  assert.equal(takeSent(), [], 'no tokens to prefill');
  reports.work('s/1', 'model', 9_000, 100_000);
  assert.is(takeSent().length, 60);
  reports.work('s/1', 'model', 500, 300_000);
  assert.is(takeSent().length, 60);
});

test('a load is parsed only if all three numbers are present and valid', () => {
  assert.equal(parseServerLoad('3,0,8'), { running: 3, waiting: 0, slots: 8 });
  assert.equal(parseServerLoad(' 3 , 1 , 8 '), { running: 3, waiting: 1, slots: 8 });
  for (const text of [undefined, '', '3,0', '3,0,8,1', '-1,0,8', '3,x,8', '3.5,0,8'])
    assert.is(parseServerLoad(text), undefined);
});

test.run();
