import { EitherAsync } from 'purify-ts';
import type { TypedError } from '../common/typed-error.js';
import { openLog } from './log.js';
import { openRouterNode } from './router/router-node.js';
import { serveRouter } from './router/serve-router.js';
import { serveUntilStopped } from './serve-until-stopped.js';
import type { NodeSettings } from './settings/node-settings.js';
import { realSurroundings } from './surroundings/real-surroundings.js';
import { stopOnSignalOrException } from './stop-signal.js';
import { watchUnexpectedExceptions } from './unexpected-exceptions.js';

/** Runs a router until the process receives a stop signal or an unexpected exception occurs; either way it shuts down gracefully. */
export const runRouter = (settings: NodeSettings): EitherAsync<TypedError, void> => {
  const log = openLog(settings.node);
  const node = openRouterNode({ settings, log, surroundings: realSurroundings });
  const exceptions = watchUnexpectedExceptions(log, node.counters, node.state);
  return serveUntilStopped(serveRouter(node, settings.http), node, (stop) => stopOnSignalOrException(exceptions, stop));
};
