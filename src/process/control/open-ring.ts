import { EitherAsync, Left } from 'purify-ts';
import type { Clock } from '../../common/clock/clock.js';
import { delay } from '../../common/clock/delay.js';
import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import type { Log } from '../log.js';

/** The delay before a disk that refused to open is tried again. */
export const reopenDelayUs: Micros = 300_000;

/** A full or stalled disk may recover while the process starts; a damaged one does not. */
const isRetryable = ({ type }: TypedError): boolean => type === 'disk-error' || type === 'disk-refusal';

/** Retries `open` without limit while the disk refuses; any other error is returned at once. */
export const openWithRetry = <T>(
  open: () => EitherAsync<TypedError, T>,
  clock: Clock,
  log: Log,
  hasRefused = false,
): EitherAsync<TypedError, T> =>
  open().chainLeft((error) => {
    if (!isRetryable(error)) return EitherAsync.liftEither(Left(error));
    if (!hasRefused) log.change('disk refuses to open; retrying', { error });
    return EitherAsync<TypedError, void>(() => delay(clock, reopenDelayUs)).chain(() =>
      openWithRetry(open, clock, log, true),
    );
  });
