// A server in trouble sends bytes that form no event, in three of a hundred answers: routers go over their memory limit.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configuration, isTroubled, nextAttempt, runCase, settle, sleep, startFleet } from '../lib-2/fleet.mjs';
import { ask, chunkOf, eventOf, headOf, openServer, promptOf } from '../lib-2/server.mjs';

const requests = 100;
const spoiled = 3;
/** `limits.ram_mb`: the platform ends a process that goes over it. */
const ramMb = 350;
/** 1,000 Mbit/s, the link of a machine, for the five seconds of the trouble at most. */
const bytesPerStep = 12_500_000;
const stepMs = 100;
const steps = 50;

/** The record of what was sent, answered and run; run.sh names it. */
const record = process.argv[2] ?? 'record.txt';

runCase(dirname(fileURLToPath(import.meta.url)), record, async ({ note, end }) => {
  const fleet = await startFleet({ routers: 3 });
  const noEvent = Buffer.alloc(bytesPerStep, '0123456789abcdef');
  for (const zone of ['vault-hall', 'scan-hall', 'reading-room', 'vault-hall', 'scan-hall', 'reading-room']) {
    const server = await openServer(fleet, 'readers', async (socket, request) => {
      socket.write(headOf(request, server.id, { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' }));
      socket.write(chunkOf(eventOf(1, 'piece 1')));
      if (isTroubled && request.headers['x-spoiled'] === '1') {
        note(`${server.id} spoils its answer to ${request.attempt}`);
        let sent = 0;
        let wake = () => undefined;
        for (const event of ['drain', 'close']) socket.on(event, () => wake());
        for (let step = 0; step < steps && !socket.destroyed; step += 1) {
          socket.write(`${bytesPerStep.toString(16)}\r\n`);
          socket.write(noEvent);
          if (!socket.write('\r\n'))
            await new Promise((resolve) => {
              wake = resolve;
            });
          sent += bytesPerStep;
          await sleep(stepMs);
        }
        note(`${server.id} sent ${sent} bytes that form no event`);
        socket.destroy();
        return;
      }
      for (let id = 2; id <= 5; id += 1) socket.write(chunkOf(eventOf(id, `piece ${id}`)));
      socket.write('0\r\n\r\n');
    }, { zone });
  }
  await openServer(fleet, 'gallery', () => undefined);
  if (!(await settle(fleet, configuration(1)))) end(2, 'the case could not run: the fleet did not become ready');

  const ends = [];
  const mostMb = new Map();
  const platform = setInterval(() => {
    for (const router of fleet.routers) {
      const residentMb = router.residentMb();
      mostMb.set(router.name, Math.max(mostMb.get(router.name) ?? 0, residentMb));
      if (residentMb <= ramMb || !router.isRunning()) continue;
      ends.push(router.name);
      note(`${router.name} is over its memory limit: ${Math.round(residentMb)} MB; the platform ends it`);
      router.signal('SIGKILL');
    }
  }, 10);
  const answers = await Promise.all(
    Array.from({ length: requests }, async (_, place) => {
      // The spoiled answers go through different routers.
      const isSpoiled = place < spoiled;
      await sleep(isSpoiled ? 500 : 40 * place);
      const router = fleet.routers[place % 3];
      const attempt = nextAttempt();
      const headers = { ...promptOf([[(4_096 + place).toString(16), 800], ['9e', 40]]), ...(isSpoiled ? { 'X-Spoiled': '1' } : {}) };
      const answer = await ask(router.edge, '/nightlog/2f', attempt, { headers });
      note(`${attempt} at ${router.name}: status ${answer.status}, ${answer.how}, ${answer.isComplete ? 'complete' : 'not complete'}`);
      return { ...answer, isSpoiled };
    }),
  );
  await sleep(500);
  clearInterval(platform);
  const failed = answers.filter(({ isSpoiled, isComplete, status }) => !isSpoiled && !(isComplete && status === 200));
  note(`most memory: ${[...mostMb].map(([name, mb]) => `${name} ${Math.round(mb)} MB`).join(', ')}`);
  note(`${failed.length} of ${requests - spoiled} requests whose answers were sound got none`);
  const isBroken = ends.length >= 3 && new Set(ends).size >= 2;
  end(isBroken ? 1 : 0, `over the memory limit, without trouble on their machines: ${ends.join(', ') || 'none'}`);
});
