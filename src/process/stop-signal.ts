import { Left, Right, type Either } from 'purify-ts';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { UnexpectedExceptions } from './unexpected-exceptions.js';

/** Waits until the process is told to stop. */
export const waitForStopSignal = (): Promise<void> =>
  new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });

/** Waits until the process is told to stop or an unexpected exception came, and stops it in order either way. */
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
    : Left(typedError('unexpected-exception', `the process stopped after ${count} unexpected exceptions`));
};
