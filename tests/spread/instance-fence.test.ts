import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openInstanceFence, type FrameEnvelope } from '../../src/spread/link/instance-fence.js';

const own = { life: 'receiver-2', fleet: 'here' };

const envelopeOf = (life: string, connection: number, more: Partial<FrameEnvelope> = {}): FrameEnvelope => ({
  sender: { address: 'a:1', life, fleet: 'here' },
  receiverLife: own.life,
  connection,
  ...more,
});

test('frames between the current instances pass on any of their connections', () => {
  const fence = openInstanceFence(own);
  for (const connection of [1, 3, 2, 3]) assert.is(fence.check(envelopeOf('a1', connection)), undefined);
});

test('a frame to an earlier instance of the receiver is dropped', () => {
  const fence = openInstanceFence(own);
  assert.is(fence.check(envelopeOf('a1', 1, { receiverLife: 'receiver-1' })), 'other-life');
});

test('a frame of another fleet is dropped', () => {
  const fence = openInstanceFence(own);
  assert.is(
    fence.check(envelopeOf('a1', 1, { sender: { address: 'a:1', life: 'a1', fleet: 'there' } })),
    'other-fleet',
  );
});

test('frames of an instance pass until a later instance at its address has sent one', () => {
  const fence = openInstanceFence(own);
  assert.is(fence.check(envelopeOf('a1', 1)), undefined);
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
  assert.is(fence.check(envelopeOf('a1', 1)), 'other-life');
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
});

test('an instance whose first frame arrives after a later instance is dropped, since its connection is older', () => {
  const fence = openInstanceFence(own);
  assert.is(fence.check(envelopeOf('a2', 8)), undefined);
  assert.is(fence.check(envelopeOf('a1', 7)), 'other-life');
});

test('a dropped frame does not make its sender the current instance', () => {
  const fence = openInstanceFence(own);
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
  fence.check(envelopeOf('a3', 3, { receiverLife: 'receiver-1' }));
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
});

test('instances at different addresses are independent', () => {
  const fence = openInstanceFence(own);
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
  assert.is(fence.check(envelopeOf('b1', 1, { sender: { address: 'b:1', life: 'b1', fleet: 'here' } })), undefined);
});

test.run();
