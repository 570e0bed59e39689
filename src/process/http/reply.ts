import type { ServerResponse } from 'node:http';
import type { Micros } from '../../common/micros.js';
import { toRetrySeconds } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import { endAfterRequest } from './end-after-request.js';

/** Answers with JSON and ends. */
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

export const replyError = (
  response: ServerResponse,
  status: number,
  error: TypedError,
  more: Readonly<Record<string, unknown>> = {},
  retryAfterUs?: Micros,
): void =>
  reply(
    response,
    status,
    { error, ...more, ...(retryAfterUs === undefined ? {} : { retryAfterUs }) },
    retryAfterUs === undefined ? {} : { 'retry-after': String(toRetrySeconds(retryAfterUs)) },
  );
