import { deserialize, serialize } from 'bson';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodedRecordOf } from '../../src/setup/delta/encoded-record.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { Frame } from '../../src/spread/frame/frame.js';
import { frameBytesOf, readFrame } from '../../src/spread/link/wire-format.js';

const record: SetupRecord = {
  revision: 4,
  takenAtUs: 5,
  setup: sampleSetup('whole'),
  original: { version: 9, text: '{"ver":9}' },
  epochs: [],
};

const read = (bytes: Uint8Array): Frame | undefined => readFrame(bytes).orDefault(undefined);

const recordIn = (frame: Frame | undefined): SetupRecord | undefined => {
  if (frame?.type === 'setup') return frame.record;
  return frame?.type === 'reply' && frame.reply.type === 'record' ? frame.reply.record : undefined;
};

test('a configuration survives the round trip through a setup frame and through a reply', () => {
  assert.equal(recordIn(read(frameBytesOf({ type: 'setup', record }))), record);
  const reply: Frame = { type: 'reply', requestId: 'q', reply: { type: 'record', record } };
  assert.equal(recordIn(read(frameBytesOf(reply))), record);
});

test('a record is encoded once, and a received one is forwarded in its received bytes', () => {
  assert.is(encodedRecordOf(record), encodedRecordOf(record));
  const received = recordIn(read(frameBytesOf({ type: 'setup', record })));
  if (received === undefined) throw new Error('the frame contains no record');
  assert.equal(Buffer.from(encodedRecordOf(received)), Buffer.from(encodedRecordOf(record)));
  assert.is(encodedRecordOf(received), encodedRecordOf(received));
});

test('equal bytes are decoded once, whatever frame they arrive in', () => {
  const bytes = frameBytesOf({ type: 'setup', record });
  const first = recordIn(read(bytes));
  assert.is.not(first, undefined);
  assert.is(recordIn(read(Uint8Array.from(bytes))), first);
  assert.is(recordIn(read(frameBytesOf({ type: 'reply', requestId: 'q', reply: { type: 'record', record } }))), first);
});

test('a reply without a record survives the round trip', () => {
  const none: Frame = { type: 'reply', requestId: 'q', reply: { type: 'record' } };
  assert.equal(read(frameBytesOf(none)), none);
});

test('a frame whose record does not decode is rejected', () => {
  for (const type of ['setup', 'reply']) {
    const whole = deserialize(
      frameBytesOf(
        type === 'setup' ? { type, record } : { type: 'reply', requestId: 'q', reply: { type: 'record', record } },
      ),
      { promoteBuffers: true },
    );
    const bytes = Buffer.from(encodedRecordOf(record));
    for (const broken of [bytes.subarray(0, bytes.length - 4), Buffer.from('{}'), Buffer.alloc(0)]) {
      const document =
        type === 'setup' ? { ...whole, record: broken } : { ...whole, reply: { type: 'record', record: broken } };
      assert.is(read(serialize(document)), undefined);
    }
  }
});

test.run();
