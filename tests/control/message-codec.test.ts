import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { isPlainMessage } from '../../src/control/wire/message-codec.js';

const probe: ControlMessage = {
  type: 'probe',
  identity: 'a',
  address: 'a:1',
  founded: false,
  founds: true,
  nonce: 'n',
};

const messages: readonly ControlMessage[] = [
  probe,
  { ...probe, type: 'probeReply', offer: 'a@a:1' },
  { type: 'join', identity: 'a', address: 'a:1' },
  { type: 'identify', nonce: '3.7' },
  { type: 'identified', nonce: '3.7', identity: 'a', address: 'a:1' },
];

test('bootstrap and join messages pass the guard unchanged, and fail it with a missing or empty field', () => {
  for (const message of messages) {
    const plain: unknown = JSON.parse(JSON.stringify(message));
    assert.ok(isPlainMessage(plain), message.type);
    assert.equal(plain, message);
    for (const field of Object.keys(message).filter((name) => name !== 'offer')) {
      assert.not(isPlainMessage({ ...message, [field]: undefined }), `${message.type} without ${field}`);
      assert.not(isPlainMessage({ ...message, [field]: '' }), `${message.type} with an empty ${field}`);
    }
  }
});

test.run();
