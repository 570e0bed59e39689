import { Left, Right, type Either } from 'purify-ts';
import type { Client } from 'undici';
import { abortAfter } from '../../common/clock/abort-after.js';
import { monotonicClock } from '../../common/clock/monotonic-clock.js';
import type { Micros } from '../../common/micros.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../list/server-key.js';
import { clientOver, type IdleLimits } from './client-over.js';
import { verifyIdentity } from './verify-identity.js';
import { dialConnection } from './dial-connection.js';
import type { Dial } from './dial.js';
import type { ServerConnection } from './server-connection.js';
import type { ServerLink } from './server-link.js';

const dialTimeoutUs: Micros = 1_000_000;
const identityTimeoutUs: Micros = 2_000_000;
const probeTimeoutUs: Micros = 1_000_000;
const maxIdentityBytes = 1 << 16;

const idleLimits: IdleLimits = { keepAliveTimeout: 600_000, keepAliveMaxTimeout: 600_000 };
/** Keeps the HTTP library from pausing its parser on a full body buffer; the connection is paused instead. */
const bodyBufferBytes = Number.MAX_SAFE_INTEGER;

/** The chunks of a body. The connection is paused while the consumer handles a chunk. */
const chunksOf = async function* (body: AsyncIterable<unknown>, connection: ServerConnection): AsyncGenerator<string> {
  for await (const chunk of body) {
    connection.pause();
    yield String(chunk);
    connection.resume();
  }
};

/** The text of a body; throws if it has more than `maxBytes`. */
const readText = async (body: AsyncIterable<unknown>, maxBytes: number): Promise<string> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    const part = Buffer.isBuffer(chunk) ? chunk : Buffer.from(String(chunk));
    bytes += part.length;
    if (bytes > maxBytes) throw new Error(`the response has more than ${maxBytes} bytes`);
    chunks.push(part);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** Whether a response is framed by a length or by chunks, so that a truncated body can be detected. */
const isSelfDelimited = (headers: Readonly<Record<string, unknown>>): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

const createLink = (
  connection: ServerConnection,
  client: Client,
  key: ServerKey,
  isOpen: () => boolean,
  close: () => void,
): ServerLink => ({
  key,
  isOpen,
  close,
  probe: async () => {
    const { signal, cancel: takeBack } = abortAfter(monotonicClock, probeTimeoutUs);
    try {
      const response = await client.request({
        method: 'GET',
        path: '/identity',
        signal,
      });
      await response.body.dump({ limit: maxIdentityBytes });
      return response.statusCode === 200;
    } catch {
      return false;
    } finally {
      takeBack();
    }
  },
  deliver: async (order, signal) => {
    const response = await client.request({
      method: 'POST',
      path: '/exchanges',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      highWaterMark: bodyBufferBytes,
      signal,
    });
    if (!isSelfDelimited(response.headers)) {
      close();
      throw new Error('response has neither Content-Length nor Transfer-Encoding');
    }
    response.body.setEncoding('utf8');
    return { status: response.statusCode, body: chunksOf(response.body, connection) };
  },
});

/** Verifies the server's identity on an open connection; closes the connection if that fails. */
const openVerifiedLink = async (
  server: ListedServer,
  connection: ServerConnection,
): Promise<Either<TypedError, ServerLink>> => {
  let isOpen = true;
  const client = clientOver(connection, server.address, idleLimits);
  const close = (): void => {
    isOpen = false;
    client.destroy().catch(() => undefined);
    connection.socket.destroy();
  };
  client.on('disconnect', close);
  client.on('connectionError', close);
  const { signal, cancel: takeBack } = abortAfter(monotonicClock, identityTimeoutUs);
  try {
    const response = await client.request({
      method: 'GET',
      path: '/identity',
      signal,
    });
    const verified = verifyIdentity(server, await readText(response.body, maxIdentityBytes));
    if (verified.isLeft()) {
      close();
      return verified;
    }
    return isOpen
      ? Right(createLink(connection, client, serverKeyOf(server), () => isOpen, close))
      : Left(typedError('link-error', 'connection closed during the identity check'));
  } catch (thrown) {
    close();
    return Left(typedError('link-error', messageOf(thrown)));
  } finally {
    takeBack();
  }
};

/** Dials a server over HTTP, in the router's own protocol. */
export const openServerLink: Dial = async (server) => {
  const dialed = await dialConnection(server.address, dialTimeoutUs);
  return dialed.caseOf<Promise<Either<TypedError, ServerLink>>>({
    Left: (error) => Promise.resolve(Left(error)),
    Right: (connection) => openVerifiedLink(server, connection),
  });
};
