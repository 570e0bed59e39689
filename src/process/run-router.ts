import { EitherAsync } from 'purify-ts';
import type { TypedError } from '../common/typed-error.js';
import { openLog } from './log.js';
import { openRouterNode } from './router/router-node.js';
import { serveRouter } from './router/serve-router.js';
import { serveUntilDue } from './serve-until-told.js';
import type { NodeSettings } from './settings/node-settings.js';
import { realSurroundings } from './surroundings/real-surroundings.js';
import { stopWhenDue } from './told-to-stop.js';
import { watchUnexpectedExceptions } from './unexpected-exceptions.js';

/** Runs a router until the process receives a stop signal or an unexpected exception occurs; either way it shuts down gracefully. */
export const runRouter = (settings: NodeSettings): EitherAsync<TypedError, void> => {
  const log = openLog(settings.node);
  const node = openRouterNode({ settings, log, surroundings: realSurroundings });
  const exceptions = watchUnexpectedExceptions(log, node.counters, node.state);
  return serveUntilDue(serveRouter(node, settings.http), node, (stop) => stopWhenDue(exceptions, stop));
};
