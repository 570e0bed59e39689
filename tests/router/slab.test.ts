import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openSlab } from '../../src/router/slab/slab.js';
import type { SlabHandle } from '../../src/router/slab/slab-handle.js';

test('a stale handle finds no value and frees no slot', () => {
  const slab = openSlab<{ readonly ticket: SlabHandle; readonly name: string }>();
  const first = slab.put((ticket) => ({ ticket, name: 'first' }));
  slab.free(first.ticket);
  const second = slab.put((ticket) => ({ ticket, name: 'second' }));
  assert.is(second.ticket.index, first.ticket.index);
  assert.is(slab.get(first.ticket), undefined);
  slab.free(first.ticket);
  assert.is(slab.get(second.ticket)?.name, 'second');
  assert.is(slab.size(), 1);
});

test.run();
