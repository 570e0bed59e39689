import { EitherAsync } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { CallersAtStop } from './http/caller-connections.js';
import type { HttpServer } from './http/http-server.js';
import { toldToStop } from './told-to-stop.js';

/** Serves a node over HTTP until the process is told to stop, and ends both in order. */
export const serveUntilTold = (
  http: HttpServer,
  node: { readonly start: () => Promise<void>; readonly stop: (callers: CallersAtStop) => Promise<void> },
): EitherAsync<TypedError, void> =>
  EitherAsync(async ({ throwE }) => {
    try {
      await http.listen();
      await node.start();
    } catch (thrown) {
      return throwE(typedError('bad-settings', `can not listen: ${messageOf(thrown)}`));
    }
    await toldToStop();
    await node.stop(http.callers);
    await http.close();
  });
