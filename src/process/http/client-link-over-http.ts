import type { ServerResponse } from 'node:http';
import type { ClientLink } from '../../router/delivery/client-link.js';
import { refusalStatusOf, unknownStatusOf } from '../router/error-status.js';
import { abortResponse } from './abort-response.js';
import { reply, replyError } from './reply.js';

/** Writes the response of an exchange to a client over HTTP: chunks as NDJSON lines, or one JSON document. */
export const clientLinkOverHttp = (response: ServerResponse): ClientLink => {
  const begin = (exchange: string): void => {
    if (!response.headersSent)
      response.writeHead(200, { 'content-type': 'application/x-ndjson', 'x-exchange-id': exchange });
  };
  return {
    isGone: () => response.destroyed,
    onGone: (listener) =>
      void response.on('close', () => {
        if (!response.writableFinished) listener();
      }),
    piece: async (exchange, line) => {
      begin(exchange);
      if (!response.write(line))
        await new Promise<void>((resolve) => {
          response.once('drain', resolve);
          response.once('close', resolve);
        });
      return !response.destroyed;
    },
    end: (exchange, pieces) => {
      begin(exchange);
      response.end(`${JSON.stringify({ end: true, pieces })}\n`);
    },
    receipt: (exchange, text) => reply(response, 200, { exchange, receipt: text }, { 'x-exchange-id': exchange }),
    refuse: (error, exchange, retryAfterUs) => {
      if (error.type === 'oversized-body') response.shouldKeepAlive = false;
      replyError(
        response,
        refusalStatusOf(error.type),
        error,
        { outcome: 'refused', ...(exchange === undefined ? {} : { exchange }) },
        retryAfterUs,
      );
    },
    unknown: (error, facts) =>
      replyError(response, unknownStatusOf(error.type), error, { outcome: 'unknown', ...facts }),
    breakOff: () => abortResponse(response),
  };
};
