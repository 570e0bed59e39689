import type { Either } from 'purify-ts';
import type { TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import type { ServerLink } from './server-link.js';

/**
 * Opens one connection to a server and verifies the server's identity on it. The exchanges use the same connection, so
 * none can reach another server that has taken over the address.
 */
export type Dial = (server: ListedServer) => Promise<Either<TypedError, ServerLink>>;
