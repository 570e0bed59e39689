import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Micros } from '../../src/common/micros.js';
import { monotonicNow } from '../../src/common/micros.js';
import { rawListed } from './raw/raw-listed.js';
import { openRawServer, type RawServer } from './raw/raw-server.js';
import { answersWith, askSlowly, wholeBodyOf } from './raw/slow-caller.js';
import { answerTo, seen } from './raw/with-edge.js';
import { openBundledFleet } from './stand-in/bundled-fleet.js';

const workMs = 1_000;
const requests = 10;
const slots = 20;
const lingerUs: Micros = 8_000_000;
/** An exception that comes out of an event, brought about by a signal. */
const preamble = "process.on('SIGHUP', () => setImmediate(() => { throw new Error('an unexpected fault'); }));";

// Guards against: an exception out of an event ends a router at once, with every request on it (LOST), or in silence.
test('a router that meets an unexpected exception answers what it has read, names the exception, and ends', async () => {
  let arrived = 0;
  const servers: RawServer[] = [];
  const fleet = await openBundledFleet(async (addressOf) => {
    const server = await openRawServer(
      (socket, request) => {
        const isSlow = request.includes('/slow');
        if (isSlow) arrived += 1;
        setTimeout(() => socket.write(answerTo(request, isSlow ? 'slow' : 'small')), isSlow ? workMs : 0);
      },
      await addressOf(),
    );
    servers.push(server);
    return [rawListed('i-1', server.address, slots)];
  }, preamble);
  const { launched, edge } = fleet.router;
  try {
    assert.ok(await answersWith(edge, 'small', 'small'), fleet.logs());
    const answers = Array.from({ length: requests }, (_, place) => askSlowly(edge, `slow${place}`, `slow${place}`, 0));
    await seen(() => arrived === requests);
    const thrownUs = monotonicNow();
    launched.reload();
    for (const answer of await Promise.all(answers)) assert.is(wholeBodyOf(answer), 'slow');
    assert.is(await launched.ended(), 1);
    assert.ok(monotonicNow() - thrownUs < lingerUs);
    assert.match(fleet.logs(), /"what":"unexpected exception"[^\n]*an unexpected fault[^\n]*"inFlight":/);
  } finally {
    await fleet.close();
    for (const server of servers) server.close();
  }
});

test.run();
