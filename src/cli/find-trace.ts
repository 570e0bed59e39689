import { readFileSync } from 'node:fs';
import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import { validate } from '../common/validate.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { ExchangeTrace } from '../router/explain/exchange-trace.js';
import { readJournal } from '../router/explain/saved-journal.js';
import { traceSchema } from '../router/explain/trace-schema.js';
import { sendRequest, fetchText } from './http-client.js';

/** Fetches the trace of an exchange from a router; fails with `unknown-exchange` if the router has none. */
export const fetchTrace = (node: string, exchange: string): EitherAsync<TypedError, ExchangeTrace> =>
  sendRequest({ method: 'GET', address: node, path: `/explain/${encodeURIComponent(exchange)}` }).chain(
    ({ status, body }) =>
      EitherAsync.liftEither(
        status === 200
          ? validate(traceSchema, body).mapLeft((faults) =>
              typedError('bad-message', 'invalid trace in the response', faults),
            )
          : Left(typedError('unknown-exchange', `${node} has no trace of exchange ${exchange}`)),
      ),
  );

const readText = (path: string): Either<TypedError, string> => {
  try {
    return Right(readFileSync(path === '-' ? 0 : path, 'utf8'));
  } catch (thrown) {
    return Left(typedError('bad-journal', `${path}: ${messageOf(thrown)}`));
  }
};

/** Reads the trace of an exchange from a saved journal; `-` is standard input. */
export const readSavedTrace = (path: string, exchange: string): Either<TypedError, ExchangeTrace> =>
  readText(path)
    .chain(readJournal)
    .chain((traces) => {
      const trace = traces.find((candidate) => candidate.exchange === exchange);
      return trace === undefined
        ? Left(typedError('unknown-exchange', `${path} has no trace of exchange ${exchange}`))
        : Right(trace);
    });

/** Fetches the journal of a router as text, after validating it. */
export const fetchJournal = (node: string): EitherAsync<TypedError, string> =>
  fetchText(node, '/journal').chain((text) => EitherAsync.liftEither(readJournal(text).map(() => text)));
