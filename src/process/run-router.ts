import { EitherAsync } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { openLog } from './log.js';
import { openRouterNode } from './router/router-node.js';
import { serveRouter } from './router/serve-router.js';
import type { NodeSettings } from './settings/node-settings.js';
import { realSurroundings } from './surroundings/real-surroundings.js';
import { toldToStop } from './told-to-stop.js';

/** Runs a router node until it is told to stop. */
export const runRouter = (settings: NodeSettings): EitherAsync<TypedError, void> =>
  EitherAsync(async ({ throwE }) => {
    const node = openRouterNode({ settings, log: openLog(settings.node), surroundings: realSurroundings });
    const http = serveRouter(node, settings.http);
    try {
      await http.listen();
      await node.start();
    } catch (thrown) {
      return throwE(typedError('bad-settings', `can not listen: ${messageOf(thrown)}`));
    }
    await toldToStop();
    await node.stop();
    await http.close();
  });
