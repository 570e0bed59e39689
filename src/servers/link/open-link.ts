import { Either, Left, Right } from 'purify-ts';
import { buildConnector, Client } from 'undici';
import { object, string } from 'yup';
import { checked } from '../../common/checked.js';
import { parseJson } from '../../common/json.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf } from '../list/server-key.js';
import type { ServerLink } from './server-link.js';

const identitySchema = object({
  id: string().required(),
  incarnation: string().required(),
  service: string().required(),
}).required();

const dialBudgetMillis = 1_000;
const confirmBudgetMillis = 2_000;

/** Dials a server once and makes it say who it is, on the same connection that will carry the exchanges. */
export const openServerLink = async (server: ListedServer): Promise<Either<TypedError, ServerLink>> => {
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
    const text = await confirmed.body.text();
    const identity = parseJson(text, 'bad-message')
      .toMaybe()
      .chain((value) => checked(identitySchema, value).toMaybe())
      .extractNullable();
    if (
      identity === null ||
      identity.id !== server.id ||
      identity.incarnation !== server.incarnation ||
      identity.service !== server.service
    ) {
      close();
      return Left(typedError('bad-message', `${server.address} is not ${serverKeyOf(server)}`));
    }
    return isOpen ? Right({ key: serverKeyOf(server), client, isOpen: () => isOpen, close }) : Left(typedError('link-error', 'the link closed'));
  } catch (thrown) {
    close();
    return Left(typedError('link-error', messageOf(thrown)));
  }
};
