import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openTraceReader } from '../../src/decision/trace/trace-reader.js';

test('the example trace replays without an error and contains a complete join', () => {
  const reader = openTraceReader();
  const decisions = readFileSync('examples/decide/join.ndjson', 'utf8')
    .split('\n')
    .flatMap((line) => reader.read(line).unsafeCoerce());
  const types: readonly string[] = decisions.map((decision) =>
    decision.type === 'deliver' ? decision.reason.type : decision.type,
  );
  for (const type of ['hold', 'unknown', 'booked', 'warm-up', 'entered'])
    assert.ok(types.includes(type), `the trace has no ${type}`);
  assert.ok(types.indexOf('booked') < types.indexOf('warm-up'));
  assert.ok(types.lastIndexOf('warm-up') < types.indexOf('entered'));
});

test.run();
