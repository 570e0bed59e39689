import { readFileSync } from 'node:fs';
import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import { checked } from '../common/checked.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { ExchangeTrace } from '../router/explain/exchange-trace.js';
import { readJournal } from '../router/explain/saved-journal.js';
import { traceSchema } from '../router/explain/trace-schema.js';
import { httpCall, httpText } from './http-call.js';

/** Fetches the trace of an exchange from a router; fails with `unknown-exchange` if the router has none. */
export const storyAt = (node: string, exchange: string): EitherAsync<TypedError, ExchangeTrace> =>
  httpCall({ method: 'GET', address: node, path: `/explain/${encodeURIComponent(exchange)}` }).chain(
    ({ status, body }) =>
      EitherAsync.liftEither(
        status === 200
          ? checked(traceSchema, body).mapLeft((faults) =>
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
export const storyIn = (path: string, exchange: string): Either<TypedError, ExchangeTrace> =>
  readText(path)
    .chain(readJournal)
    .chain((traces) => {
      const trace = traces.find((candidate) => candidate.exchange === exchange);
      return trace === undefined
        ? Left(typedError('unknown-exchange', `${path} has no trace of exchange ${exchange}`))
        : Right(trace);
    });

/** Fetches the journal of a router as text, after validating it. */
export const journalAt = (node: string): EitherAsync<TypedError, string> =>
  httpText(node, '/journal').chain((text) => EitherAsync.liftEither(readJournal(text).map(() => text)));
