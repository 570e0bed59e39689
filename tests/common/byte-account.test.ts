import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openByteAccount } from '../../src/common/memory/byte-account.js';
import { openSegmentedBytes } from '../../src/common/memory/segmented-bytes.js';

const openAccountOf = (capacityBytes: number) => {
  const evicted: string[] = [];
  const sizes: number[] = [];
  const account = openByteAccount(capacityBytes, (bytes) => void sizes.push(bytes));
  return { account, evicted, sizes, open: (name: string) => account.open(() => void evicted.push(name)) };
};

test('the largest holder goes, not the one that asks for more', () => {
  const { account, evicted, sizes, open } = openAccountOf(100);
  const [small, large, medium] = [open('small'), open('large'), open('medium')];
  small.set(10);
  large.set(60);
  medium.set(30);
  assert.equal([account.heldBytes(), evicted], [100, []]);
  small.set(11);
  assert.equal([account.heldBytes(), evicted, sizes], [41, ['large'], [60]]);
  large.set(50);
  assert.is(account.heldBytes(), 41, 'an evicted holder keeps nothing');
});

test('a holder that is larger than the account is evicted itself', () => {
  const { account, evicted, open } = openAccountOf(100);
  open('other').set(40);
  open('huge').set(1_000);
  assert.equal([account.heldBytes(), evicted], [40, ['huge']]);
});

test('a closed holder gives its bytes back, and is not evicted any more', () => {
  const { account, evicted, open } = openAccountOf(100);
  const closed = open('closed');
  closed.set(90);
  closed.close();
  closed.set(90);
  open('other').set(100);
  assert.equal([account.heldBytes(), evicted], [100, []]);
});

test('holders that let go of others while they are evicted leave the account right', () => {
  const evicted: string[] = [];
  const account = openByteAccount(100, () => undefined);
  const second = account.open(() => void evicted.push('second'));
  const first = account.open(() => {
    evicted.push('first');
    second.close();
  });
  second.set(40);
  first.set(70);
  assert.equal([account.heldBytes(), evicted], [0, ['first']]);
});

test('chunks of any size come back in order, and small ones do not keep the buffers that they are views of', () => {
  const bytes = openSegmentedBytes();
  const sizes = [1, 3, 1_000, 5, 40_000, 2, 70_000, 900, 30_000, 7];
  const sent = sizes.map((size, place) => Buffer.alloc(size, `${place}`));
  for (const chunk of sent) bytes.put(chunk);
  assert.is(bytes.size(), Buffer.concat(sent).length);
  assert.ok(Buffer.concat(bytes.take()).equals(Buffer.concat(sent)));
  assert.equal([bytes.size(), bytes.take()], [0, []]);
  const large = Buffer.alloc(1 << 20);
  for (let place = 0; place < 64; place += 1) bytes.put(large.subarray(place, place + 1));
  const [segment] = bytes.take();
  assert.ok(segment !== undefined && segment.buffer.byteLength <= 1 << 10);
});

test.run();
