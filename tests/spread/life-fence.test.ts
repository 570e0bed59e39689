import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openLifeFence, type FrameEnvelope } from '../../src/spread/link/life-fence.js';

const own = { life: 'receiver-2', fleet: 'here' };

const envelopeOf = (life: string, connection: number, more: Partial<FrameEnvelope> = {}): FrameEnvelope => ({
  sender: { address: 'a:1', life, fleet: 'here' },
  receiverLife: own.life,
  connection,
  ...more,
});

test('frames of the living processes at both ends pass, on any of their connections', () => {
  const fence = openLifeFence(own);
  for (const connection of [1, 3, 2, 3]) assert.is(fence.check(envelopeOf('a1', connection)), undefined);
});

test('a frame to a former life of the receiver is dropped', () => {
  const fence = openLifeFence(own);
  assert.is(fence.check(envelopeOf('a1', 1, { receiverLife: 'receiver-1' })), 'other-life');
});

test('a frame of another fleet is dropped, whatever its lives', () => {
  const fence = openLifeFence(own);
  assert.is(
    fence.check(envelopeOf('a1', 1, { sender: { address: 'a:1', life: 'a1', fleet: 'there' } })),
    'other-fleet',
  );
});

test('once a later life was heard, frames of the former one are dropped; before that they pass', () => {
  const fence = openLifeFence(own);
  assert.is(fence.check(envelopeOf('a1', 1)), undefined);
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
  assert.is(fence.check(envelopeOf('a1', 1)), 'other-life');
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
});

test('a former life that is first heard after the later one is dropped, since its connection is older', () => {
  const fence = openLifeFence(own);
  assert.is(fence.check(envelopeOf('a2', 8)), undefined);
  assert.is(fence.check(envelopeOf('a1', 7)), 'other-life');
});

test('a dropped frame does not make its sender the living one', () => {
  const fence = openLifeFence(own);
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
  fence.check(envelopeOf('a3', 3, { receiverLife: 'receiver-1' }));
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
});

test('lives at other addresses are told apart', () => {
  const fence = openLifeFence(own);
  assert.is(fence.check(envelopeOf('a2', 2)), undefined);
  assert.is(fence.check(envelopeOf('b1', 1, { sender: { address: 'b:1', life: 'b1', fleet: 'here' } })), undefined);
});

test.run();
