import { EitherAsync } from 'purify-ts';
import type { ErrorType } from '../common/error-type.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { openCoreClient } from './core-client.js';
import { openCounters } from './counters.js';
import { openHttpServer } from './http/http-server.js';
import { addPlatformPaths } from './http/platform-paths.js';
import { openLog } from './log.js';
import { addExchangePaths } from './router/exchange-paths.js';
import { openRefreshGate } from './router/refresh-gate.js';
import { openRouterTask } from './router/router-task.js';
import type { NodeSettings } from './settings/node-settings.js';
import { openSpreadTask } from './spread-task.js';

const confirmBudgetUs = 1_000_000;
const pauseMillis = 200;
const lameDuckMillis = 1_000;
const drainBudgetMillis = 8_000;

const pause = (millis: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, millis));

/** Runs a router node until it is told to stop. */
export const runRouter = (settings: NodeSettings): EitherAsync<TypedError, void> =>
  EitherAsync(async ({ throwE }) => {
    const log = openLog(settings.node);
    const counters = openCounters();
    const spread = openSpreadTask(
      { node: settings.node, role: 'router', address: settings.partners, http: settings.http, locality: settings.locality },
      settings.seeds,
      log,
      counters,
    );
    const core = openCoreClient(spread);
    const gate = openRefreshGate(spread, (spanUs) => {
      counters.count('freezes');
      log.change('woke', { frozenUs: spanUs });
    });
    const router = openRouterTask({
      node: settings.node,
      spread,
      gate,
      log,
      counters,
      release: ({ key, exchange }) => {
        void core.ask({ type: 'propose', command: { type: 'release', key, exchange, atUs: spread.platformUs() } }, confirmBudgetUs);
      },
    });
    const http = openHttpServer(settings.http, counters);
    let isConfirmed = false;
    let isStopping = false;
    let isDraining = false;

    const closedBy = (): ErrorType | undefined => {
      if (isDraining) return 'draining';
      return isConfirmed && router.view().list !== undefined ? undefined : 'not-ready';
    };
    const unready = (): string | undefined => {
      if (isStopping) return 'stopping';
      if (!isConfirmed) return 'no setup is confirmed by the core yet';
      if (router.view().list === undefined) return 'no list of servers is known yet';
      if (gate.isShut()) return 'woke from a freeze and is not fresh yet';
      return spread.view().isolated ? 'isolated from all partners' : undefined;
    };
    addPlatformPaths(http, spread, counters, unready);
    addExchangePaths(http, { router, spread, core, gate, counters, closedBy });
    try {
      await spread.start();
      await http.listen();
    } catch (thrown) {
      return throwE(typedError('bad-settings', `can not listen: ${messageOf(thrown)}`));
    }
    router.start();
    log.change('started', {});

    const confirm = async (): Promise<void> => {
      while (!isConfirmed && !isStopping) {
        (await core.ask({ type: 'read' }, confirmBudgetUs)).ifRight((answer) => {
          if (answer.type !== 'record' || answer.record === undefined) return;
          spread.offerSetup(answer.record);
          isConfirmed = true;
          log.change('confirmed', { revision: answer.record.revision });
        });
        if (!isConfirmed) await pause(pauseMillis);
      }
    };
    void confirm();

    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    isStopping = true;
    log.change('stopping', { inFlight: router.inFlight() });
    const stopDueMillis = performance.now() + drainBudgetMillis;
    await pause(lameDuckMillis);
    isDraining = true;
    router.drain();
    while (router.inFlight() > 0 && performance.now() < stopDueMillis) await pause(20);
    log.change('stopped', { cutOff: router.inFlight() });
    router.close();
    void http.close();
    await pause(50);
    spread.close();
  });
