import type { Either } from 'purify-ts';
import type { TypedError } from '../../common/typed-error.js';
import type { ListReading } from './list-reading.js';

/** Reads all pages of the platform's server list. Left if the platform refuses or cannot be reached. */
export type ListSource = {
  readonly read: () => Promise<Either<TypedError, ListReading>>;
};
