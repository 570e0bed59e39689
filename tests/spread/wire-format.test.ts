import { deflateRawSync } from 'node:zlib';
import { serialize } from 'bson';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { Frame } from '../../src/spread/frame/frame.js';
import { frameBytesOf, readFrame } from '../../src/spread/link/wire-format.js';

const routes = Array.from({ length: 2_000 }, (_, index) => `{"name":"r-${index}","prefix":"/p${index}/","tries":2}`);

const entry: Frame = {
  type: 'control',
  identity: 'a',
  to: 'b',
  message: {
    type: 'append',
    term: 1,
    previousIndex: 0,
    previousTerm: 0,
    entries: [
      {
        index: 1,
        term: 1,
        command: {
          type: 'setup',
          proposal: 'p',
          expected: 0,
          setup: sampleSetup('s'),
          original: { version: 1, text: routes.join() },
          atUs: 1,
        },
      },
    ],
    commit: 0,
    round: 1,
  },
};

test('a large frame is compressed and survives the round trip', () => {
  const bytes = frameBytesOf(entry);
  const plainBytes = serialize(entry).length;
  assert.ok(bytes.length * 4 < plainBytes, `${bytes.length} of ${plainBytes} bytes`);
  assert.equal(readFrame(bytes).extract(), entry);
});

test('a small frame is not compressed', () => {
  const small: Frame = { type: 'request', requestId: 'r', request: { type: 'read' } };
  assert.equal(Buffer.from(frameBytesOf(small)), Buffer.from(serialize(small)));
});

test('a frame that inflates beyond the largest document, or is truncated, is an error result and not an exception', () => {
  const huge = serialize({ deflated: deflateRawSync(Buffer.alloc(80 << 20)) });
  assert.ok(readFrame(huge).isLeft());
  const whole = deflateRawSync(serialize(entry));
  assert.ok(readFrame(serialize({ deflated: whole.subarray(0, whole.length / 2) })).isLeft());
});

test.run();
