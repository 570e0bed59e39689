import type { Either } from 'purify-ts';
import type { TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import type { ServerLink } from './server-link.js';

/** Dials a server once and makes it say who it is, on the same connection that will carry the exchanges. */
export type Dial = (server: ListedServer) => Promise<Either<TypedError, ServerLink>>;
