import { Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from './typed-error.js';
import type { ErrorType } from './error-type.js';

/** Parses JSON text; an error of the given type carries the message of the parser. */
export const parseJson = (text: string, type: ErrorType): Either<TypedError, unknown> =>
  Either.encase((): unknown => {
    const value: unknown = JSON.parse(text);
    return value;
  }).mapLeft((thrown) => typedError(type, `invalid JSON: ${messageOf(thrown)}`));
