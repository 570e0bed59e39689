import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Client } from 'undici';
import { openCounters } from '../../src/process/counters.js';
import { openHttpServer } from '../../src/process/http/http-server.js';
import { reply } from '../../src/process/http/reply.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';

test('a server that is closed while a prober asks on and on over one kept link comes to its end', async () => {
  const [port = 0] = await freePorts(1);
  const http = openHttpServer(`127.0.0.1:${port}`, openCounters());
  let goOn = (): void => undefined;
  const mayEnd = new Promise<void>((resolve) => {
    goOn = resolve;
  });
  let begun = (): void => undefined;
  const hasBegun = new Promise<void>((resolve) => {
    begun = resolve;
  });
  http.app.get('/slow', async (_message, response) => {
    begun();
    await mayEnd;
    reply(response, 200, { live: true });
  });
  http.app.get('/live', (_message, response) => reply(response, 200, { live: true }));
  await http.listen();
  const prober = new Client(`http://127.0.0.1:${port}`, { pipelining: 1 });
  const ask = async (path: string): Promise<boolean> => {
    try {
      const receipt = await prober.request({ method: 'GET', path });
      await receipt.body.dump();
      return receipt.statusCode === 200;
    } catch {
      return false;
    }
  };
  const slow = ask('/slow');
  await hasBegun;
  let isClosed = false;
  const closed = http.close().then(() => {
    isClosed = true;
  });
  goOn();
  assert.is(await slow, true, 'what was under way is answered');
  for (let asked = 0; asked < 300 && !isClosed && (await ask('/live')); asked += 1);
  assert.is(
    await Promise.race([
      closed.then(() => 'closed'),
      ask('/live').then((isThere) => (isThere ? 'still served' : closed.then(() => 'closed'))),
    ]),
    'closed',
  );
  await prober.destroy();
});

test.run();
