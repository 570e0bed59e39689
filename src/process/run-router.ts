import { EitherAsync } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { openLog } from './log.js';
import { openRouterNode } from './router/router-node.js';
import type { NodeSettings } from './settings/node-settings.js';
import { toldToStop } from './told-to-stop.js';

/** Runs a router node until it is told to stop. */
export const runRouter = (settings: NodeSettings): EitherAsync<TypedError, void> =>
  EitherAsync(async ({ throwE }) => {
    const node = openRouterNode(settings, openLog(settings.node));
    try {
      await node.start();
    } catch (thrown) {
      return throwE(typedError('bad-settings', `can not listen: ${messageOf(thrown)}`));
    }
    await toldToStop();
    await node.stop();
  });
