import { Left, Right, type Either } from 'purify-ts';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { UnexpectedExceptions } from './unexpected-exceptions.js';

/** Resolves when the process receives SIGTERM or SIGINT. */
export const waitForStopSignal = (): Promise<void> =>
  new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });

/** Waits for a stop signal or the first unexpected exception, then stops. Returns an error if there was any exception. */
export const stopOnSignalOrException = async (
  exceptions: UnexpectedExceptions,
  stop: () => Promise<void>,
): Promise<Either<TypedError, void>> => {
  await Promise.race([waitForStopSignal(), exceptions.first]);
  await stop();
  exceptions.close();
  const count = exceptions.count();
  return count === 0
    ? Right(undefined)
    : Left(typedError('unexpected-exception', `the process shut down after ${count} unexpected exceptions`));
};
