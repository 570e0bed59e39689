import type { Either } from 'purify-ts';
import type { TypedError } from '../../common/typed-error.js';
import type { ListReading } from './list-reading.js';

/** Asks the platform for its list, all pages of it. */
export type ListSource = {
  readonly read: () => Promise<Either<TypedError, ListReading>>;
};
