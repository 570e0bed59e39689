import type { EitherAsync } from 'purify-ts';
import type { TypedError } from '../common/typed-error.js';
import { openLog } from './log.js';
import { openRouterNode } from './router/router-node.js';
import { serveRouter } from './router/serve-router.js';
import { serveUntilTold } from './serve-until-told.js';
import type { NodeSettings } from './settings/node-settings.js';
import { realSurroundings } from './surroundings/real-surroundings.js';

/** Runs a router node until it is told to stop. */
export const runRouter = (settings: NodeSettings): EitherAsync<TypedError, void> => {
  const node = openRouterNode({ settings, log: openLog(settings.node), surroundings: realSurroundings });
  return serveUntilTold(serveRouter(node, settings.http), node);
};
