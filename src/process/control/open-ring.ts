import { EitherAsync, Left } from 'purify-ts';
import type { Clock } from '../../common/clock/clock.js';
import { paused } from '../../common/clock/paused.js';
import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import type { Log } from '../log.js';

/** How long to wait before a disk that refused at the start is opened again. */
export const reopenUs: Micros = 300_000;

/** A disk that is full or stalls when the process starts may be better soon; a damaged one is not. */
const mayPass = ({ type }: TypedError): boolean => type === 'disk-error' || type === 'disk-refusal';

/** Opens something on the disk, again and again while the disk refuses; damage ends it at once. */
export const openWithRetry = <T>(
  open: () => EitherAsync<TypedError, T>,
  clock: Clock,
  log: Log,
  hasRefused = false,
): EitherAsync<TypedError, T> =>
  open().chainLeft((error) => {
    if (!mayPass(error)) return EitherAsync.liftEither(Left(error));
    if (!hasRefused) log.change('disk refuses at the start', { error });
    return EitherAsync<TypedError, void>(() => paused(clock, reopenUs)).chain(() =>
      openWithRetry(open, clock, log, true),
    );
  });
