import type { EitherAsync } from 'purify-ts';
import type { TypedError } from '../common/typed-error.js';
import { openControlNode } from './control/control-node.js';
import { openHttpServer } from './http/http-server.js';
import { addOperatorPaths } from './http/operator-paths.js';
import { addPlatformPaths } from './http/platform-paths.js';
import { addQuotaPaths } from './http/quota-paths.js';
import { openLog } from './log.js';
import { serveUntilStopSignal } from './serve-until-stopped.js';
import type { ControlSettings } from './settings/control-settings.js';
import { realSurroundings } from './surroundings/real-surroundings.js';

/** Runs a control node until the process receives a stop signal. On a fatal error the process exits with status 3. */
export const runControl = (settings: ControlSettings): EitherAsync<TypedError, void> => {
  const log = openLog(settings.node);
  const fail = (error: TypedError): void => {
    log.change('control failed', { error });
    process.exit(3);
  };
  return openControlNode({ settings, log, surroundings: realSurroundings, fail }).chain((node) => {
    const http = openHttpServer(settings.http, node.counters);
    addPlatformPaths(http, node.spread, node.counters, node.unready);
    addOperatorPaths(http, node.desk);
    addQuotaPaths(http, node.quotas);
    return serveUntilStopSignal(http, node);
  });
};
