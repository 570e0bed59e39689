import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Left, Right } from 'purify-ts';
import { typedError } from '../../src/common/typed-error.js';
import type { CoreClient } from '../../src/process/core-client.js';
import { openCounters } from '../../src/process/counters.js';
import { openFailureReport, reportIntervalUs } from '../../src/process/failure-report.js';
import { instrumentedOperatorService } from '../../src/process/operator/instrumented-operator-service.js';
import { openOperatorService } from '../../src/process/operator/operator-service.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import { openWorld } from '../../src/sim/world/world.js';

type Line = { readonly what: string; readonly facts: Readonly<Record<string, unknown>> };

const openRecordingLog = () => {
  const lines: Line[] = [];
  return { lines, log: { change: (what: string, facts: Line['facts']) => void lines.push({ what, facts }) } };
};

test('failures since the last report are logged with the fields of the node, and no line appears without failures', async () => {
  const world = openWorld(1);
  const { clock } = openSimNode(world).begin();
  const counters = openCounters();
  const { lines, log } = openRecordingLog();
  const report = openFailureReport(clock, log, counters, () => ({ revision: 7 }));
  counters.count('exchanges.done', 5);
  await world.playUntil(2 * reportIntervalUs);
  assert.equal(lines, []);
  counters.count('refused.no-server', 2);
  counters.count('tries.failed.link-lost');
  await world.playUntil(4 * reportIntervalUs);
  const failures = { 'refused.no-server': 2, 'tries.failed.link-lost': 1 };
  assert.equal(lines, [{ what: 'failures', facts: { failures, revision: 7 } }]);
  counters.count('refused.no-server');
  report.close();
  assert.is(lines.length, 2);
  assert.equal(lines[1]?.facts['failures'], { 'refused.no-server': 1 });
});

const openCountedService = (core: CoreClient) => {
  const counters = openCounters();
  const { lines, log } = openRecordingLog();
  return {
    counters,
    lines,
    service: instrumentedOperatorService(
      openOperatorService(core, () => 0),
      counters,
      log,
    ),
  };
};

const document = (setup: unknown) => ({ setup, original: { version: 4, text: '{}' }, expectedVersion: 3 });

test('a rejected document is counted and logged with its cause', async () => {
  const unreachable = typedError('unreachable', 'no leader');
  const { counters, lines, service } = openCountedService({ ask: () => Promise.resolve(Left(unreachable)) });
  await service.putOriginal(document({ ...sampleSetup('x'), tiers: [] }));
  await service.putOriginal(document(sampleSetup('x')));
  assert.is(counters.read()['operator.refused.invalid-setup'], 1);
  assert.is(counters.read()['operator.refused.unreachable'], 1);
  assert.equal(
    lines.map(({ what, facts }) => [what, facts['version'], facts['expectedVersion'], facts['error']]),
    [
      ['document not taken', 4, 3, 'invalid-setup'],
      ['document not taken', 4, 3, 'unreachable'],
    ],
  );
  assert.ok(Array.isArray(lines[0]?.facts['faults']));
});

test('a decided document is logged with its outcome, and reads are counted', async () => {
  const { counters, lines, service } = openCountedService({
    ask: (request) =>
      Promise.resolve(
        request.type === 'read'
          ? Right({ type: 'record' as const })
          : Right({
              type: 'applied' as const,
              outcome: { type: 'proposal' as const, outcome: { type: 'committed' as const, revision: 9 } },
            }),
      ),
  });
  await service.putOriginal(document(sampleSetup('x')));
  await service.read();
  assert.equal(lines, [
    { what: 'document decided', facts: { version: 4, expectedVersion: 3, outcome: 'committed', revision: 9 } },
  ]);
  assert.is(counters.read()['operator.decided'], 1);
  assert.is(counters.read()['operator.none'], 1);
});

test.run();
