import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { typedError } from '../../src/common/typed-error.js';
import { openCounters } from '../../src/process/counters.js';
import type { ClientLink } from '../../src/router/delivery/client-link.js';
import { openGuaranteeMonitor, violationCounterOf } from '../../src/router/guarantees/guarantee-monitor.js';
import type { GuaranteeName } from '../../src/router/guarantees/guarantee-name.js';
import { leavingGraceUs, overdueGraceUs, openRoutingChecks } from '../../src/router/guarantees/routing-checks.js';
import { monitorExchange } from '../../src/router/guarantees/exchange-monitor.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';

const inertClient: ClientLink = {
  opaque: {
    writeHead: () => undefined,
    write: () => true,
    onDrain: () => undefined,
    pendingBytes: () => 0,
    abort: () => undefined,
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

const openMonitor = (repeatable = false) => {
  const violations: GuaranteeName[] = [];
  const checks = { broken: (promise: GuaranteeName) => void violations.push(promise) };
  return { violations, checks, monitor: monitorExchange(inertClient, { exchange: 'e', repeatable }, checks) };
};

const listedServer = (leavingAtUs?: number): ListedServer => ({
  id: 's1',
  incarnation: 'i1',
  service: 'model',
  address: '10.0.0.1:80',
  locality: 'a',
  listedAtUs: 0,
  state: leavingAtUs === undefined ? 'up' : 'leaving',
  ...(leavingAtUs === undefined ? {} : { leavingAtUs }),
});

test('an attempt that did not run, a second one, its stream and the end of the stream violate no guarantee', () => {
  const { violations, monitor } = openMonitor();
  monitor.sent();
  monitor.notRun();
  monitor.sent();
  monitor.client.opaque?.writeHead(head);
  monitor.client.opaque?.write(Buffer.from('x'));
  monitor.client.opaque?.end();
  assert.equal(violations, []);
  assert.ok(monitor.isAnswered());
});

test('a second final answer, and a write after the final answer, are reported', () => {
  const twice = openMonitor();
  twice.monitor.client.refuse(error);
  twice.monitor.client.unknown(error, {});
  assert.equal(twice.violations, ['one-final-answer']);
  const after = openMonitor();
  after.monitor.client.opaque?.whole(head, Buffer.alloc(0));
  after.monitor.client.opaque?.write(Buffer.from('x'));
  assert.equal(after.violations, ['one-final-answer']);
});

test('a refusal after an attempt was sent or a response has begun is reported; one after a confirmed non-run is not', () => {
  const sent = openMonitor();
  sent.monitor.sent();
  sent.monitor.client.refuse(error);
  assert.equal(sent.violations, ['refused-never-ran']);
  const turnedAway = openMonitor();
  turnedAway.monitor.sent();
  turnedAway.monitor.notRun();
  turnedAway.monitor.client.refuse(error);
  assert.equal(turnedAway.violations, []);
  const begun = openMonitor(true);
  void begun.monitor.client.piece('e', 'line');
  begun.monitor.client.refuse(error);
  assert.equal(begun.violations, ['refused-never-ran']);
});

test('a second attempt of a run-once exchange is reported; one of a repeatable exchange is not', () => {
  const once = openMonitor();
  once.monitor.sent();
  once.monitor.sent();
  assert.equal(once.violations, ['runs-once']);
  const repeatable = openMonitor(true);
  repeatable.monitor.sent();
  repeatable.monitor.sent();
  assert.equal(repeatable.violations, []);
});

test('an attempt at a server of another service, or after the grace period of a leaving server, is reported', () => {
  const { violations, checks } = openMonitor();
  const routingChecks = openRoutingChecks(checks);
  const sent = (server: ListedServer | undefined, nowUs: number, service = 'model'): void =>
    routingChecks.sent({ exchange: 'e', rule: { service }, server, nowUs });
  sent(listedServer(), 9_000_000);
  sent(listedServer(1_000_000), 1_000_000 + leavingGraceUs);
  sent(undefined, 9_000_000);
  assert.equal(violations, []);
  sent(listedServer(1_000_000), 1_000_001 + leavingGraceUs);
  sent(listedServer(), 9_000_000, 'web');
  assert.equal(violations, ['leaving-gets-nothing', 'service-of-its-rule']);
});

test('an older configuration in place of a newer one is reported', () => {
  const { violations, checks } = openMonitor();
  const routingChecks = openRoutingChecks(checks);
  routingChecks.configured(undefined, 3);
  routingChecks.configured(3, 3);
  routingChecks.configured(3, 4);
  assert.equal(violations, []);
  routingChecks.configured(4, 3);
  assert.equal(violations, ['configuration-never-back']);
});

test('an exchange without an answer half a second after its budget is reported once, and a streaming one is not', () => {
  const { violations, checks, monitor } = openMonitor();
  const routingChecks = openRoutingChecks(checks);
  const waiting = { exchange: 'e', dueUs: 1_000_000, watch: monitor };
  routingChecks.waiting(waiting, 1_000_000 + overdueGraceUs);
  assert.equal(violations, []);
  routingChecks.waiting(waiting, 1_000_001 + overdueGraceUs);
  routingChecks.waiting(waiting, 2_000_000 + overdueGraceUs);
  assert.equal(violations, ['answered-in-time']);
  const streaming = openMonitor();
  streaming.monitor.client.opaque?.writeHead(head);
  routingChecks.waiting({ ...waiting, watch: streaming.monitor }, 9_000_000);
  assert.equal(violations, ['answered-in-time']);
});

test('every violation is counted under the name of its guarantee, and only the first few are logged', () => {
  const counters = openCounters();
  const lines: unknown[] = [];
  const checks = openGuaranteeMonitor({ count: counters.count, log: (what, facts) => void lines.push([what, facts]) });
  for (let index = 0; index < 20; index += 1) checks.broken('runs-once', { exchange: `e${index}` });
  assert.is(counters.read()[violationCounterOf('runs-once')], 20);
  assert.is(lines.length, 8);
});

test.run();
