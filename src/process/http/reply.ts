import type { ServerResponse } from 'node:http';
import type { Micros } from '../../common/micros.js';
import { toRetryAfterSeconds } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import { endAfterRequest } from './end-after-request.js';

/** Sends a complete JSON response; does nothing if a response has begun or the connection is closed. */
export const reply = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  if (response.headersSent || response.destroyed) return;
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  endAfterRequest(response, text);
};

/** As `reply`, with the error, further fields and the delay after which the client may retry. */
export const replyError = (
  response: ServerResponse,
  status: number,
  error: TypedError,
  fields: Readonly<Record<string, unknown>> = {},
  retryAfterUs?: Micros,
): void =>
  reply(
    response,
    status,
    { error, ...fields, ...(retryAfterUs === undefined ? {} : { retryAfterUs }) },
    retryAfterUs === undefined ? {} : { 'retry-after': String(toRetryAfterSeconds(retryAfterUs)) },
  );
