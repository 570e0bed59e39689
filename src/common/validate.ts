import { Either, Left, Right } from 'purify-ts';
import { ValidationError, type Schema } from 'yup';
import type { Fault } from './fault.js';

const faultsOf = (error: ValidationError): readonly Fault[] =>
  error.inner.length === 0
    ? [{ path: error.path ?? '', message: error.message }]
    : error.inner.flatMap((innerError) => faultsOf(innerError));

/** Validates a value against a schema, without coercion; on failure lists every fault with its path. */
export const validate = <T>(schema: Schema<T>, value: unknown): Either<readonly Fault[], T> => {
  try {
    return Right(schema.validateSync(value, { abortEarly: false, strict: true }));
  } catch (thrown) {
    if (thrown instanceof ValidationError) return Left(faultsOf(thrown));
    throw thrown;
  }
};
