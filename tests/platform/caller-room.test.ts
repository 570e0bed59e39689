import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { clientLinkOverHttp } from '../../platform/client/client-link-over-http.js';

test('waiting for room again and again leaves nothing behind, and each wait is told once', () => {
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  const counts = (): readonly number[] => [response.listenerCount('close'), response.listenerCount('drain')];
  const before = counts();
  const caller = clientLinkOverHttp(response);
  let told = 0;
  for (let wait = 0; wait < 20; wait += 1) {
    caller.opaque?.onDrain(() => (told += 1));
    response.emit('drain');
  }
  response.emit('close');
  assert.equal([told, ...counts()], [20, ...before]);
});

test.run();
