import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Client } from 'undici';
import { openCounters } from '../../src/process/counters.js';
import { openHttpServer } from '../../src/process/http/http-server.js';
import { reply } from '../../src/process/http/reply.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';

test('a closing server terminates although a prober keeps sending requests over one keep-alive connection', async () => {
  const [port = 0] = await freePorts(1);
  const http = openHttpServer(`127.0.0.1:${port}`, openCounters());
  let finishSlow = (): void => undefined;
  const slowMayFinish = new Promise<void>((resolve) => {
    finishSlow = resolve;
  });
  let markSlowBegun = (): void => undefined;
  const slowBegun = new Promise<void>((resolve) => {
    markSlowBegun = resolve;
  });
  http.app.get('/slow', async (_message, response) => {
    markSlowBegun();
    await slowMayFinish;
    reply(response, 200, { live: true });
  });
  http.app.get('/live', (_message, response) => reply(response, 200, { live: true }));
  await http.listen();
  const prober = new Client(`http://127.0.0.1:${port}`, { pipelining: 1 });
  const get = async (path: string): Promise<boolean> => {
    try {
      const answer = await prober.request({ method: 'GET', path });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  };
  const slow = get('/slow');
  await slowBegun;
  let isClosed = false;
  const closed = http.close().then(() => {
    isClosed = true;
  });
  finishSlow();
  assert.is(await slow, true, 'the request in flight is answered');
  for (let requests = 0; requests < 300 && !isClosed && (await get('/live')); requests += 1);
  assert.is(
    await Promise.race([
      closed.then(() => 'closed'),
      get('/live').then((isServed) => (isServed ? 'still served' : closed.then(() => 'closed'))),
    ]),
    'closed',
  );
  await prober.destroy();
});

test.run();
