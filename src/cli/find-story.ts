import { readFileSync } from 'node:fs';
import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import { checked } from '../common/checked.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { ExchangeTrace } from '../router/explain/exchange-trace.js';
import { readJournal } from '../router/explain/saved-journal.js';
import { traceSchema } from '../router/explain/trace-schema.js';
import { httpCall, httpText } from './http-call.js';

/** The story that a node keeps of an exchange. */
export const storyAt = (node: string, exchange: string): EitherAsync<TypedError, ExchangeTrace> =>
  httpCall({ method: 'GET', address: node, path: `/explain/${encodeURIComponent(exchange)}` }).chain(
    ({ status, body }) =>
      EitherAsync.liftEither(
        status === 200
          ? checked(traceSchema, body).mapLeft((faults) => typedError('bad-message', 'the story does not hold', faults))
          : Left(typedError('unknown-exchange', `${node} keeps no story of ${exchange}`)),
      ),
  );

const readText = (path: string): Either<TypedError, string> => {
  try {
    return Right(readFileSync(path === '-' ? 0 : path, 'utf8'));
  } catch (thrown) {
    return Left(typedError('bad-journal', `${path}: ${messageOf(thrown)}`));
  }
};

/** The story of an exchange in a saved journal. */
export const storyIn = (path: string, exchange: string): Either<TypedError, ExchangeTrace> =>
  readText(path)
    .chain(readJournal)
    .chain((stories) => {
      const story = stories.find((known) => known.exchange === exchange);
      return story === undefined
        ? Left(typedError('unknown-exchange', `${path} holds no story of ${exchange}`))
        : Right(story);
    });

/** A router's journal as text, looked at before it is given. */
export const journalAt = (node: string): EitherAsync<TypedError, string> =>
  httpText(node, '/journal').chain((text) => EitherAsync.liftEither(readJournal(text).map(() => text)));
