// A server breaks off a stream that may be resumed, whose event ids have sixteen digits.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configuration, isTroubled, nextAttempt, runCase, settle, sleep, startFleet } from '../lib-2/fleet.mjs';
import { ask, chunkOf, eventOf, headOf, openServer, promptOf } from '../lib-2/server.mjs';

/** Ids are microseconds of a time line that all servers of the service share, so that any of them can go on after one. */
const firstId = 1_765_000_000_000_001;
const pieces = 12;
const brokenAfter = 5;
const streams = 20;

/** The record of what was sent, answered and run; run.sh names it. */
const record = process.argv[2] ?? 'record.txt';

runCase(dirname(fileURLToPath(import.meta.url)), record, async ({ note, end }) => {
  const fleet = await startFleet({ routers: 1 });
  const [router] = fleet.routers;
  const brokenOff = new Set();
  const runsOf = new Map();
  for (const zone of ['vault-hall', 'scan-hall', 'reading-room']) {
    const server = await openServer(fleet, 'readers', async (socket, request) => {
      const { attempt, headers } = request;
      const last = headers['last-event-id'];
      const from = last === undefined ? 0 : Number(last) - firstId + 1;
      runsOf.set(attempt, [...(runsOf.get(attempt) ?? []), last ?? 'the beginning']);
      note(`${server.id} runs ${attempt} from ${last ?? 'the beginning'}`);
      socket.write(headOf(request, server.id, { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' }));
      const breaksOff = isTroubled && headers['x-broken'] === '1' && !brokenOff.has(attempt);
      for (let piece = from; piece < pieces; piece += 1) {
        if (breaksOff && piece === brokenAfter) {
          brokenOff.add(attempt);
          note(`${server.id} breaks off ${attempt} after piece ${piece}`);
          socket.resetAndDestroy();
          return;
        }
        socket.write(chunkOf(eventOf(firstId + piece, `piece ${piece + 1}`)));
        await sleep(20);
      }
      socket.write('0\r\n\r\n');
    }, { zone });
  }
  await openServer(fleet, 'gallery', () => undefined);
  if (!(await settle(fleet, configuration(1)))) end(2, 'the case could not run: the fleet did not become ready');

  // A router has no budget for further tries in its first ten seconds.
  await sleep(8_000);
  let doubled = 0;
  const check = (attempt, already, text) => {
    const got = [...already, ...[...text.matchAll(/data: piece (\d+)\n/g)].map(([, piece]) => Number(piece))];
    const isRising = got.every((piece, place) => piece === place + 1);
    if (!isRising) doubled += 1;
    note(`${attempt} got the pieces ${got.join(' ')}${isRising ? '' : ': NOT IN ORDER'}`);
  };
  for (let place = 0; place < streams; place += 1) {
    const attempt = nextAttempt();
    const headers = { ...promptOf([[(4_096 + place).toString(16), 800], ['9e', 40]]), 'X-Broken': '1' };
    const { text, how, isComplete } = await ask(router.edge, '/envelope/2f', attempt, { headers });
    note(`${attempt}: ${how}, ${isComplete ? 'complete' : 'not complete'}`);
    check(attempt, [], text);
    await sleep(100);
  }
  // A client takes up a stream after a cut of its own: it has five pieces, and asks for those after the fifth.
  for (let place = 0; isTroubled && place < 5; place += 1) {
    const attempt = nextAttempt();
    const headers = {
      ...promptOf([[(8_192 + place).toString(16), 800], ['9e', 40]]),
      'Last-Event-Id': firstId + brokenAfter - 1,
    };
    const { text } = await ask(router.edge, '/envelope/2f', attempt, { headers });
    note(`${attempt} asked for what follows ${headers['Last-Event-Id']}; its server was asked to go on from ${runsOf.get(attempt)?.join(', ')}`);
    check(attempt, [1, 2, 3, 4, 5], text);
  }
  end(doubled > 0 ? 1 : 0, `${doubled} streams in which pieces came twice`);
});
