import { EitherAsync, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { ConnectionDrain } from './http/client-connections.js';
import type { HttpServer } from './http/http-server.js';
import { waitForStopSignal } from './stop-signal.js';

type ServedNode = {
  readonly start: () => Promise<void>;
  readonly stop: (clients: ConnectionDrain) => Promise<void>;
};

/** Serves a node over HTTP; `stopWhenDue` waits for the moment to stop and then calls its argument, which shuts both down. */
export const serveUntilStopped = (
  http: HttpServer,
  node: ServedNode,
  stopWhenDue: (stop: () => Promise<void>) => Promise<Either<TypedError, void>>,
): EitherAsync<TypedError, void> =>
  EitherAsync(async ({ liftEither, throwE }) => {
    try {
      await http.listen();
      await node.start();
    } catch (thrown) {
      return throwE(typedError('bad-settings', `the node could not start to listen: ${messageOf(thrown)}`));
    }
    const ended = await stopWhenDue(async () => {
      await node.stop(http.callers);
      await http.close();
    });
    return liftEither(ended);
  });

/** Serves a node over HTTP until the process receives a stop signal. */
export const serveUntilStopSignal = (http: HttpServer, node: ServedNode): EitherAsync<TypedError, void> =>
  serveUntilStopped(http, node, async (stop) => {
    await waitForStopSignal();
    await stop();
    return Right(undefined);
  });
