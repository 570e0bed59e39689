import { EitherAsync, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { CallersAtStop } from './http/caller-connections.js';
import type { HttpServer } from './http/http-server.js';
import { toldToStop } from './told-to-stop.js';

type ServedNode = {
  readonly start: () => Promise<void>;
  readonly stop: (clients: CallersAtStop) => Promise<void>;
};

/** Serves a node over HTTP; `stopWhenDue` waits for the moment to stop and then calls its argument, which shuts both down. */
export const serveUntilDue = (
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
export const serveUntilTold = (http: HttpServer, node: ServedNode): EitherAsync<TypedError, void> =>
  serveUntilDue(http, node, async (stop) => {
    await toldToStop();
    await stop();
    return Right(undefined);
  });
