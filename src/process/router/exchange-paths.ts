import type { IncomingMessage } from 'node:http';
import type { Either } from 'purify-ts';
import { parseJson } from '../../common/json.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { platformUsOf } from '../../decision/machine/view/decision-view.js';
import type { HttpServer } from '../http/http-server.js';
import { clientLinkOverHttp } from '../http/client-link-over-http.js';
import { receiveBody, type ReceivedBody } from '../http/receive-body.js';
import { reply, replyError } from '../http/reply.js';
import { bearerTokenOf } from '../../router/access/bearer-token.js';
import { journalTextOf } from '../../router/explain/saved-journal.js';
import type { RouterNode } from './router-node.js';

const maxBodyBytes = 1 << 20;
const maxMemoryWaitUs: Micros = 1_000_000;

/** Reads the JSON body of a request; its memory reservation is released once it has been received. */
const readRequest = async (message: IncomingMessage, { bodies }: RouterNode): Promise<Either<TypedError, unknown>> => {
  const received = await new Promise<Either<TypedError, ReceivedBody>>((resolve) =>
    receiveBody(message, bodies, { mostBytes: maxBodyBytes, mostWaitUs: maxMemoryWaitUs }, resolve),
  );
  return received.chain(({ bytes, release }) => {
    release();
    return parseJson(Buffer.from(bytes).toString('utf8'), 'bad-exchange');
  });
};

/** Registers the HTTP routes for exchanges, for their traces, and for the routing state of this node. */
export const addExchangePaths = ({ app }: HttpServer, node: RouterNode): void => {
  app.post('/exchanges', async (message, response) => {
    await node.admit(
      await readRequest(message, node),
      message.headers['idempotency-key'],
      clientLinkOverHttp(response),
      bearerTokenOf(message.headers.authorization),
    );
  });
  app.get('/explain/:exchange', (message, response) => {
    const trace = node.router.stories.find(String(message.params['exchange'] ?? ''));
    if (trace === undefined)
      replyError(response, 404, typedError('unknown-exchange', 'this node has no trace of that exchange'));
    else reply(response, 200, trace);
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
