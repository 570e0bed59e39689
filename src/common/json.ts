import { Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from './typed-error.js';
import type { ErrorType } from './error-type.js';

/** Parses JSON text, or says why it is none. */
export const parseJson = (text: string, type: ErrorType): Either<TypedError, unknown> =>
  Either.encase((): unknown => {
    const parsedValue: unknown = JSON.parse(text);
    return parsedValue;
  }).mapLeft((thrown) => typedError(type, `not JSON: ${messageOf(thrown)}`));
