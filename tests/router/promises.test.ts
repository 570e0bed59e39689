import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { typedError } from '../../src/common/typed-error.js';
import { openCounters } from '../../src/process/counters.js';
import type { CallerLink } from '../../src/router/delivery/caller-link.js';
import { openPromiseChecks, promiseCounterOf } from '../../src/router/promises/promise-checks.js';
import type { PromiseName } from '../../src/router/promises/promise-name.js';
import { mostLeavingUs, mostOverdueUs, openTryChecks } from '../../src/router/promises/try-checks.js';
import { watchCaller } from '../../src/router/promises/watched-caller.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';

const silentCaller: CallerLink = {
  opaque: {
    begin: () => undefined,
    write: () => true,
    onRoom: () => undefined,
    end: () => undefined,
    whole: () => undefined,
  },
  isGone: () => false,
  onGone: () => undefined,
  piece: () => Promise.resolve(true),
  end: () => undefined,
  receipt: () => undefined,
  refuse: () => undefined,
  unknown: () => undefined,
  breakOff: () => undefined,
};

const head = { status: 200, headers: [] };
const error = typedError('no-server', 'none');

const openWatch = (repeatable = false) => {
  const found: PromiseName[] = [];
  const checks = { broken: (promise: PromiseName) => void found.push(promise) };
  return { found, checks, watch: watchCaller(silentCaller, { exchange: 'e', repeatable }, checks) };
};

const leaving = (leavingAtUs?: number): ListedServer => ({
  id: 's1',
  incarnation: 'i1',
  service: 'model',
  address: '10.0.0.1:80',
  locality: 'a',
  listedAtUs: 0,
  state: leavingAtUs === undefined ? 'up' : 'leaving',
  ...(leavingAtUs === undefined ? {} : { leavingAtUs }),
});

test('what goes as promised breaks nothing: a refused try elsewhere, a stream, its end', () => {
  const { found, watch } = openWatch();
  watch.sent();
  watch.notRun();
  watch.sent();
  watch.caller.opaque?.begin(head);
  watch.caller.opaque?.write(Buffer.from('x'));
  watch.caller.opaque?.end();
  assert.equal(found, []);
  assert.ok(watch.isAnswered());
});

test('a second last word, and a piece after the last word, are found', () => {
  const twice = openWatch();
  twice.watch.caller.refuse(error);
  twice.watch.caller.unknown(error, {});
  assert.equal(twice.found, ['one-final-answer']);
  const after = openWatch();
  after.watch.caller.opaque?.whole(head, Buffer.alloc(0));
  after.watch.caller.opaque?.write(Buffer.from('x'));
  assert.equal(after.found, ['one-final-answer']);
});

test('a refusal of what was sent, or has begun, is found; one of what a server did not run is none', () => {
  const sent = openWatch();
  sent.watch.sent();
  sent.watch.caller.refuse(error);
  assert.equal(sent.found, ['refused-never-ran']);
  const turnedAway = openWatch();
  turnedAway.watch.sent();
  turnedAway.watch.notRun();
  turnedAway.watch.caller.refuse(error);
  assert.equal(turnedAway.found, []);
  const begun = openWatch(true);
  void begun.watch.caller.piece('e', 'line');
  begun.watch.caller.refuse(error);
  assert.equal(begun.found, ['refused-never-ran']);
});

test('a second try of what may run once is found, unless the first did not run or it may be repeated', () => {
  const once = openWatch();
  once.watch.sent();
  once.watch.sent();
  assert.equal(once.found, ['runs-once']);
  const repeatable = openWatch(true);
  repeatable.watch.sent();
  repeatable.watch.sent();
  assert.equal(repeatable.found, []);
});

test('a try at a server of another service, or long after it was shown as leaving, is found', () => {
  const { found, checks } = openWatch();
  const tries = openTryChecks(checks);
  const sent = (server: ListedServer | undefined, nowUs: number, service = 'model'): void =>
    tries.sent({ exchange: 'e', rule: { service }, server, nowUs });
  sent(leaving(), 9_000_000);
  sent(leaving(1_000_000), 1_000_000 + mostLeavingUs);
  sent(undefined, 9_000_000);
  assert.equal(found, []);
  sent(leaving(1_000_000), 1_000_001 + mostLeavingUs);
  sent(leaving(), 9_000_000, 'web');
  assert.equal(found, ['leaving-gets-nothing', 'service-of-its-rule']);
});

test('an older configuration in place of a newer one is found', () => {
  const { found, checks } = openWatch();
  const tries = openTryChecks(checks);
  tries.configured(undefined, 3);
  tries.configured(3, 3);
  tries.configured(3, 4);
  assert.equal(found, []);
  tries.configured(4, 3);
  assert.equal(found, ['configuration-never-back']);
});

test('an exchange without a word half a second after its budget is found once, and one that streams is none', () => {
  const { found, checks, watch } = openWatch();
  const tries = openTryChecks(checks);
  const waiting = { exchange: 'e', dueUs: 1_000_000, watch };
  tries.waiting(waiting, 1_000_000 + mostOverdueUs);
  assert.equal(found, []);
  tries.waiting(waiting, 1_000_001 + mostOverdueUs);
  tries.waiting(waiting, 2_000_000 + mostOverdueUs);
  assert.equal(found, ['answered-in-time']);
  const streaming = openWatch();
  streaming.watch.caller.opaque?.begin(head);
  tries.waiting({ ...waiting, watch: streaming.watch }, 9_000_000);
  assert.equal(found, ['answered-in-time']);
});

test('breaks are counted under a name of their own, and only the first of them are logged', () => {
  const counters = openCounters();
  const lines: unknown[] = [];
  const checks = openPromiseChecks({ count: counters.count, log: (what, facts) => void lines.push([what, facts]) });
  for (let times = 0; times < 20; times += 1) checks.broken('runs-once', { exchange: `e${times}` });
  assert.is(counters.read()[promiseCounterOf('runs-once')], 20);
  assert.is(lines.length, 8);
});

test.run();
