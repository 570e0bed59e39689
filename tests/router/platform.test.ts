import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { listedAt, openLoopback } from './loopback.js';

test('an older or malformed server list is rejected and leaves the current one in place', async () => {
  const loopback = await openLoopback(1, 0);
  try {
    const put = async (body: string): Promise<readonly [number, string]> => {
      const response = await request(`http://${loopback.http}/platform/list`, { method: 'PUT', body });
      return [response.statusCode, await response.body.text()];
    };
    const server = listedAt('m9', 'model', 9);
    const list = (version: number, servers: readonly unknown[]): string =>
      JSON.stringify({ version, atUs: 5, servers });
    assert.is((await put(list(7, [server])))[0], 200);
    const before = loopback.node.spread.view().list;
    const cases: readonly (readonly [string, number, string])[] = [
      [list(6, []), 409, 'stale-list'],
      ['{"version":', 422, 'invalid-list'],
      [list(8, [{ ...server, address: 'nowhere' }]), 422, 'servers[0].address'],
      [list(8, [{ ...server, state: 'leaving' }]), 422, 'leavingAtUs'],
      [list(8, [server, server]), 422, 'unique ids'],
      [list(8.5, []), 422, 'version'],
      [JSON.stringify({ version: 8, atUs: 5, servers: [], more: 1 }), 422, 'more'],
    ];
    for (const [body, status, fragment] of cases) {
      const [actualStatus, text] = await put(body);
      assert.is(actualStatus, status, text);
      assert.match(text, fragment);
    }
    assert.is(loopback.node.spread.view().list, before);
  } finally {
    loopback.close();
  }
});

test('the live probe succeeds, and the ready probe gives the reason why a node is not ready', async () => {
  const loopback = await openLoopback(0, 0);
  try {
    const live = await request(`http://${loopback.http}/live`);
    assert.is(live.statusCode, 200);
    await live.body.dump();
    const ready = await request(`http://${loopback.http}/ready`);
    assert.is(ready.statusCode, 503);
    assert.match(await ready.body.text(), 'isolated');
  } finally {
    loopback.close();
  }
});

test.run();
