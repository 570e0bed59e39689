// A router gets SIGTERM while requests that it has passed on wait in the queue of their server.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configuration, isTroubled, nextAttempt, runCase, settle, sleep, startFleet } from '../lib-2/fleet.mjs';
import { ask, chunkOf, eventOf, headOf, openServer, promptOf } from '../lib-2/server.mjs';

const slots = 2;
const servers = 2;
const waiting = 6;
/** A request in a slot gets an event each half second, and is done after this time. */
const workMs = 9_500;
const lingerMs = 8_000;
/** The route's timeout and the client's budget; neither is reached before the queue moves on. */
const budgetMs = 30_000;
const targetMs = 4_000;
/** Four times the aim: the silence that a client bears before it gives up a stream. */
const silentMs = 4 * targetMs;

/** The record of what was sent, answered and run; run.sh names it. */
const record = process.argv[2] ?? 'record.txt';

runCase(dirname(fileURLToPath(import.meta.url)), record, async ({ note, end, elapsedMs }) => {
  const fleet = await startFleet({ routers: 2 });
  const [stopped, other] = fleet.routers;
  const begun = new Map();
  const done = new Set();
  const gone = new Map();
  for (let place = 0; place < servers; place += 1) {
    let busy = 0;
    const queue = [];
    const next = () => {
      const work = busy < slots ? queue.shift() : undefined;
      if (work !== undefined) void work();
    };
    const server = await openServer(fleet, 'readers', (socket, request) => {
      const { attempt } = request;
      note(`${server.id} has received ${attempt}${busy < slots ? '' : ', and queues it'}`);
      socket.once('close', () => {
        gone.set(attempt, elapsedMs());
        if (!begun.has(attempt) && !done.has(attempt)) note(`${server.id}: the connection of ${attempt}, which waits, was closed`);
      });
      queue.push(async () => {
        if (socket.destroyed) return next();
        busy += 1;
        begun.set(attempt, elapsedMs());
        note(`${server.id} begins to work on ${attempt}`);
        socket.write(headOf(request, server.id, { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' }));
        const ms = request.headers['x-short'] === '1' ? 500 : workMs;
        for (let id = 1; id <= ms / 500 && !socket.destroyed; id += 1) {
          socket.write(chunkOf(eventOf(id, `piece ${id}`)));
          await sleep(500);
        }
        if (!socket.destroyed) socket.write('0\r\n\r\n');
        done.add(attempt);
        busy -= 1;
        next();
      });
      next();
    }, { cap: slots });
  }
  await openServer(fleet, 'gallery', () => undefined);
  const document = configuration(1, { nightlog: { timeout_ms: budgetMs, target_ms: targetMs } });
  if (!(await settle(fleet, document))) end(2, 'the case could not run: the fleet did not become ready');

  const send = async (router, isShort) => {
    const attempt = nextAttempt();
    note(`${attempt} sent to ${router.name}`);
    const headers = { ...promptOf([[attempt.slice(-6), 800], ['9e', 40]]), ...(isShort ? { 'X-Short': '1' } : {}) };
    const answer = await ask(router.edge, '/nightlog/2f', attempt, { headers, budgetMs, silentMs });
    note(`${attempt} at ${router.name}: status ${answer.status}, ${answer.how}, ${answer.isComplete ? 'complete' : 'NOT COMPLETE'}, ${answer.tookMs} ms`);
    return { attempt, ...answer };
  };
  // Long streams through the other router take all slots.
  const long = Array.from({ length: slots * servers * 2 }, () => send(other, false));
  await sleep(400);
  const short = Array.from({ length: waiting }, () => send(stopped, true));
  await sleep(600);
  const termMs = elapsedMs();
  note(isTroubled ? `SIGTERM to ${stopped.name}` : 'no SIGTERM');
  if (isTroubled) {
    stopped.signal('SIGTERM');
    setTimeout(() => {
      if (stopped.isRunning()) note(`SIGKILL to ${stopped.name} after linger_s`);
      stopped.signal('SIGKILL');
    }, lingerMs).unref();
  }
  const answers = await Promise.all(short);
  await sleep(500);
  // The rule as written: passed on, then the connection ends without a complete answer, until 1 s after linger_s. Excused is
  // what its server was at work on; these requests waited in a queue, and no server had begun to work on them.
  const lost = answers.filter(({ attempt, how, isComplete }) => how.startsWith('connection') && !isComplete && gone.has(attempt) && !begun.has(attempt));
  lost.forEach(({ attempt }) => note(`LOST: ${attempt}, ${Math.round(gone.get(attempt) - termMs)} ms after the SIGTERM`));
  void long;
  end(lost.length > 0 ? 1 : 0, `${lost.length} of ${waiting} requests lost while they waited in the queue of their server`);
});
