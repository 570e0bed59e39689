import { Left, Right } from 'purify-ts';
import { buildConnector, Client } from 'undici';
import { messageOf, typedError } from '../../common/typed-error.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';
import { confirmIdentity } from './confirm-identity.js';
import type { Dial } from './dial.js';
import type { ServerLink } from './server-link.js';

const dialBudgetMillis = 1_000;
const confirmBudgetMillis = 2_000;
const probeBudgetMillis = 1_000;

const chunksOf = async function* (body: AsyncIterable<unknown>): AsyncGenerator<string> {
  for await (const chunk of body) yield String(chunk);
};

const linkOver = (client: Client, key: ServerKey, isOpen: () => boolean, close: () => void): ServerLink => ({
  key,
  isOpen,
  close,
  confirm: async () => {
    try {
      const answer = await client.request({ method: 'GET', path: '/identity', signal: AbortSignal.timeout(probeBudgetMillis) });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  },
  deliver: async (order, signal) => {
    const answer = await client.request({
      method: 'POST',
      path: '/exchanges',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      signal,
    });
    answer.body.setEncoding('utf8');
    return { status: answer.statusCode, body: chunksOf(answer.body) };
  },
});

/** Dials a server once and makes it say who it is, on the same connection that will carry the exchanges. */
export const openServerLink: Dial = async (server) => {
  const connector = buildConnector({ timeout: dialBudgetMillis });
  let dials = 0;
  let isOpen = true;
  const client = new Client(`http://${server.address}`, {
    pipelining: 1,
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: (options, callback) => {
      dials += 1;
      if (dials > 1) callback(new Error('a link dials only once'), null);
      else connector(options, callback);
    },
  });
  const close = (): void => {
    isOpen = false;
    client.destroy().catch(() => undefined);
  };
  client.on('disconnect', close);
  client.on('connectionError', close);
  try {
    const confirmed = await client.request({
      method: 'GET',
      path: '/identity',
      signal: AbortSignal.timeout(confirmBudgetMillis),
    });
    const confirmation = confirmIdentity(server, await confirmed.body.text());
    if (confirmation.isLeft()) {
      close();
      return confirmation;
    }
    return isOpen ? Right(linkOver(client, serverKeyOf(server), () => isOpen, close)) : Left(typedError('link-error', 'the link closed'));
  } catch (thrown) {
    close();
    const message = messageOf(thrown);
    return Left(typedError(message.includes('ECONNREFUSED') ? 'link-refused' : 'link-error', message));
  }
};
