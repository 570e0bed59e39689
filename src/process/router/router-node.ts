import type { ErrorType } from '../../common/error-type.js';
import { openCoreClient, type CoreClient } from '../core-client.js';
import { openCounters, type Counters } from '../counters.js';
import { openHttpServer } from '../http/http-server.js';
import { addPlatformPaths } from '../http/platform-paths.js';
import type { Log } from '../log.js';
import type { NodeSettings } from '../settings/node-settings.js';
import { openSpreadTask, type SpreadTask } from '../spread-task.js';
import { addExchangePaths } from './exchange-paths.js';
import { openRefreshGate } from './refresh-gate.js';
import { openRouterTask, type RouterTask } from './router-task.js';

/** A router node with all its tasks. */
export type RouterNode = {
  readonly spread: SpreadTask;
  readonly router: RouterTask;
  readonly counters: Counters;
  readonly start: () => Promise<void>;
  /** Ends in order: unready, in flight to their end or the bound, then gone. */
  readonly stop: () => Promise<void>;
  /** Ends at once, and breaks off what is in flight. */
  readonly end: () => void;
};

const confirmBudgetUs = 1_000_000;
const pauseMillis = 200;
const lameDuckMillis = 1_000;
const drainBudgetMillis = 8_000;

const pause = (millis: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, millis));

/** Puts a router node together; `coreOf` makes the client that asks the core. */
export const openRouterNode = (
  settings: NodeSettings,
  log: Log,
  coreOf: (spread: SpreadTask) => CoreClient = openCoreClient,
): RouterNode => {
  const counters = openCounters();
  const spread = openSpreadTask(
    { node: settings.node, role: 'router', address: settings.partners, http: settings.http, locality: settings.locality },
    settings.seeds,
    log,
    counters,
    settings.partnersListen,
  );
  const core = coreOf(spread);
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
  addExchangePaths(http, { router, spread, core, gate, counters, closedBy, isStopping: () => isStopping });

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

  const end = (): void => {
    isStopping = true;
    router.close();
    void http.close();
    spread.close();
  };

  return {
    spread,
    router,
    counters,
    start: async () => {
      await spread.start();
      await http.listen();
      router.start();
      log.change('started', {});
      void confirm();
    },
    stop: async () => {
      isStopping = true;
      log.change('stopping', { inFlight: router.inFlight() });
      const stopDueMillis = performance.now() + drainBudgetMillis;
      await pause(lameDuckMillis);
      isDraining = true;
      router.drain();
      while (router.inFlight() > 0 && performance.now() < stopDueMillis) await pause(20);
      log.change('stopped', { cutOff: router.inFlight() });
      end();
    },
    end,
  };
};
