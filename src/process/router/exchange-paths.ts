import type { IncomingMessage } from 'node:http';
import type { Either } from 'purify-ts';
import { parseJson } from '../../common/json.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { platformUsOf } from '../../decision/machine/view/decision-view.js';
import type { HttpServer } from '../http/http-server.js';
import { callerOverHttp } from '../http/caller-over-http.js';
import { receiveBody, type ReceivedBody } from '../http/receive-body.js';
import { reply, replyError } from '../http/reply.js';
import { bearerTokenOf } from '../../router/access/bearer-token.js';
import { journalTextOf } from '../../router/explain/saved-journal.js';
import type { RouterNode } from './router-node.js';

const mostBodyBytes = 1 << 20;
const memoryWaitUs: Micros = 1_000_000;

/** The JSON of a request. Its text is not held any longer than it takes to read it. */
const readRequest = async (message: IncomingMessage, { bodies }: RouterNode): Promise<Either<TypedError, unknown>> => {
  const received = await new Promise<Either<TypedError, ReceivedBody>>((resolve) =>
    receiveBody(message, bodies, { mostBytes: mostBodyBytes, mostWaitUs: memoryWaitUs }, resolve),
  );
  return received.chain(({ bytes, release }) => {
    release();
    return parseJson(Buffer.from(bytes).toString('utf8'), 'bad-exchange');
  });
};

/** What callers use, and what explains where their exchanges went. */
export const addExchangePaths = ({ app }: HttpServer, node: RouterNode): void => {
  app.post('/exchanges', async (message, response) => {
    await node.arrive(
      await readRequest(message, node),
      message.headers['idempotency-key'],
      callerOverHttp(response),
      bearerTokenOf(message.headers.authorization),
    );
  });
  app.get('/explain/:exchange', (message, response) => {
    const story = node.router.stories.find(String(message.params['exchange'] ?? ''));
    if (story === undefined)
      replyError(response, 404, typedError('unknown-exchange', 'this node keeps no story of that exchange'));
    else reply(response, 200, story);
  });
  app.get('/journal', (_message, response) => {
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.end(journalTextOf(node.name, node.router.stories.all()));
  });
  app.get('/stage', (_message, response) => {
    const view = node.router.view();
    const { topology: stage } = view;
    reply(response, 200, {
      platformUs: view.platform === undefined ? undefined : platformUsOf(view),
      services: [...stage.services.values()].map((service) => ({
        service: service.service,
        servers: [...new Set(service.ring.vnodes.map((vnode) => vnode.owner))].sort(),
        pending: service.pending.map(({ name, fromUs, commitUs, ranges }) => ({
          name,
          fromUs,
          commitUs,
          ranges: ranges.length,
        })),
        settling: service.settling.map(({ name, commitUs, settledUs }) => ({ name, commitUs, settledUs })),
        joining: service.joining,
      })),
    });
  });
};
