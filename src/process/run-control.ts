import { EitherAsync } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { openControlTask } from './control-task.js';
import { openCoreClient } from './core-client.js';
import { openCounters } from './counters.js';
import { openHttpServer } from './http/http-server.js';
import { addOperatorPaths } from './http/operator-paths.js';
import { addPlatformPaths } from './http/platform-paths.js';
import { openLog } from './log.js';
import type { ControlSettings } from './settings/control-settings.js';
import { openSpreadTask } from './spread-task.js';
import { toldToStop } from './told-to-stop.js';

/** Runs a core machine until it is told to stop. */
export const runControl = (settings: ControlSettings): EitherAsync<TypedError, void> => {
  const log = openLog(settings.node);
  const counters = openCounters();
  const spread = openSpreadTask(
    { node: settings.node, role: 'control', address: settings.partners, http: settings.http, locality: settings.locality },
    settings.seeds,
    log,
    counters,
    settings.partnersListen,
  );
  const http = openHttpServer(settings.http, counters);
  const fail = (error: TypedError): void => {
    log.change('disk failed', { error });
    process.exit(3);
  };
  return openControlTask(settings, spread, log, counters, fail).chain((control) =>
    EitherAsync(async ({ throwE }) => {
      const core = openCoreClient(spread);
      const unready = (): string | undefined => {
        const { leader, role } = control.view();
        if (leader === undefined) return `no leader is known (${role})`;
        return role === 'learner' || role === 'unfounded' ? `not a voter of the core yet (${role})` : undefined;
      };
      addPlatformPaths(http, spread, counters, unready);
      addOperatorPaths(http, core, spread.platformUs);
      try {
        await spread.start();
        await http.listen();
      } catch (thrown) {
        return throwE(typedError('bad-settings', `can not listen: ${messageOf(thrown)}`));
      }
      control.start();
      log.change('started', { identity: control.view().identity, role: control.view().role });
      await toldToStop();
      log.change('stopping', {});
      await control.resign();
      await new Promise((resolve) => setTimeout(resolve, 100));
      await http.close();
      await control.close();
      spread.close();
    }),
  );
};
