import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { dialServer } from '../../platform/server/dial.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';
import { beginThenStall, withListener } from '../router/event-loop-stall.js';

const listedAt = (address: string): ListedServer => ({
  id: 's1',
  incarnation: 'i1',
  service: 'model',
  address,
  locality: 'a',
  listedAtUs: 0,
  state: 'up',
});

test('a connection that came up while the process stood still is not taken for one that did not come up', () =>
  withListener(async (port) => {
    const { begun } = await beginThenStall(() => dialServer(listedAt(`127.0.0.1:${port}`)));
    const opened = await begun;
    assert.ok(opened.isRight(), 'the server is there');
    opened.ifRight((link) => link.close());
  }));

test.run();
