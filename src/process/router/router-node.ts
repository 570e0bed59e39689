import { callEvery } from '../../common/clock/every.js';
import { delay } from '../../common/clock/delay.js';
import type { ErrorType } from '../../common/error-type.js';
import type { Micros } from '../../common/micros.js';
import { openCoreClient, type CoreClient } from '../core-client.js';
import { openCounters, type Counters } from '../counters.js';
import { openFailureReport } from '../failure-report.js';
import type { ConnectionDrain } from '../http/client-connections.js';
import { openLoopDelay } from '../loop-delay.js';
import type { Log } from '../log.js';
import { openBodyMemory, type BodyMemory } from '../memory/body-memory.js';
import { openResponseMemory } from '../memory/response-memory.js';
import {
  defaultMemoryBytes,
  defaultTerminationGraceUs,
  linkOptionsOf,
  type NodeSettings,
} from '../settings/node-settings.js';
import { openPollerTask } from '../poller-task.js';
import { openGossipTask, type GossipTask } from '../gossip-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';
import { openAdmission, type Admission } from './admission.js';
import { openQuotaTask } from './quota-task.js';
import { openRefreshGate } from './refresh-gate.js';
import { openRouterTask, type RouterTask } from './router-task.js';
import { stopScheduleOf } from './stop-schedule.js';

/** A router node with all its tasks, but without its HTTP server. */
export type RouterNode = {
  readonly name: string;
  readonly spread: GossipTask;
  readonly router: RouterTask;
  readonly counters: Counters;
  /** The memory budget for request bodies. */
  readonly bodies: BodyMemory;
  readonly admit: Admission['admit'];
  readonly admitOpaque: Admission['admitOpaque'];
  /** Why the node is not ready; undefined if it is. */
  readonly unreadyReason: () => string | undefined;
  /** The fields that describe the node's state in log lines. */
  readonly state: () => Readonly<Record<string, unknown>>;
  /** Whether the node is stopping, so that clients should use another one. */
  readonly isStopping: () => boolean;
  readonly start: () => Promise<void>;
  /**
   * Stops gracefully: reports unready, waits until the exchanges in flight are complete, answers the remaining ones shortly before
   * the process would be killed, then ends.
   */
  readonly stop: (callers?: ConnectionDrain) => Promise<void>;
  /** Stops immediately; responses in flight are aborted. */
  readonly end: () => void;
};

export type RouterNodeOptions = {
  readonly settings: NodeSettings;
  readonly log: Log;
  readonly surroundings: Surroundings;
  /** Opens the client of the core. */
  readonly openCore?: (spread: GossipTask, surroundings: Surroundings) => CoreClient;
};

const coreRequestBudgetUs: Micros = 1_000_000;
const confirmRetryDelayUs: Micros = 200_000;
/** The interval of checks for a freeze; much shorter than the shortest freeze that counts. */
const freezeCheckIntervalUs: Micros = 100_000;
const drainPollIntervalUs: Micros = 20_000;

/** Wires the tasks of a router node; it joins the fleet at `start`. */
export const openRouterNode = ({
  settings,
  log,
  surroundings,
  openCore: openCore = openCoreClient,
}: RouterNodeOptions): RouterNode => {
  const { clock } = surroundings;
  const counters = openCounters();
  const memoryBytes = settings.memoryBytes ?? defaultMemoryBytes;
  const bodies = openBodyMemory(memoryBytes, clock, counters);
  const spread = openGossipTask(
    {
      node: settings.node,
      role: 'router',
      address: settings.partners,
      http: settings.http,
      locality: settings.locality,
    },
    settings.seeds,
    log,
    counters,
    surroundings,
    linkOptionsOf(settings),
  );
  const source = openPollerTask('router', settings.node, spread, log, counters, surroundings);
  const core = openCore(spread, surroundings);
  const gate = openRefreshGate(spread, clock, (frozenUs) => {
    counters.count('freezes');
    log.change('resumed after a freeze', { frozenUs });
  });
  const router = openRouterTask({
    node: settings.node,
    spread,
    gate,
    log,
    counters,
    responseMemory: openResponseMemory(memoryBytes, counters),
    surroundings,
    release: ({ key, exchange }) => {
      void core.ask(
        { type: 'propose', command: { type: 'release', key, exchange, atUs: spread.platformUs() } },
        coreRequestBudgetUs,
      );
    },
  });
  let isConfirmed = false;
  let isStopping = false;
  let isDraining = false;
  let stopFreezeChecks = (): void => undefined;
  let closeReport = (): void => undefined;
  const loopDelay = openLoopDelay(clock, counters);

  const closedReason = (): ErrorType | undefined => {
    if (isDraining) return 'draining';
    return isConfirmed && router.view().list !== undefined ? undefined : 'not-ready';
  };
  const quota = openQuotaTask({ node: settings.node, spread, clock, counters });
  const admission = openAdmission({ router, spread, core, gate, quota, counters, closedReason });

  /** Reads the configuration from the core until one read succeeds; the node is not ready before. */
  const confirm = async (): Promise<void> => {
    while (!isConfirmed && !isStopping) {
      (await core.ask({ type: 'read' }, coreRequestBudgetUs)).ifRight((reply) => {
        if (reply.type !== 'record' || reply.record === undefined) return;
        spread.offerSetup(reply.record);
        isConfirmed = true;
        log.change('setup confirmed by the core', { revision: reply.record.revision });
      });
      if (!isConfirmed) await delay(clock, confirmRetryDelayUs);
    }
  };

  const state = () => ({
    revision: router.view().record?.revision ?? 0,
    list: router.view().list?.version ?? 0,
    inFlight: router.inFlight(),
    darkServers: router.view().dark.size,
    partners: spread.view().partners.size,
    isolated: spread.view().isolated,
    loopDelayUs: loopDelay.takeLongestUs(),
  });

  const end = (): void => {
    isStopping = true;
    stopFreezeChecks();
    source.close();
    router.close();
    quota.close();
    closeReport();
    loopDelay.close();
    spread.close();
  };

  return {
    name: settings.node,
    spread,
    router,
    counters,
    bodies,
    admit: admission.admit,
    admitOpaque: admission.admitOpaque,
    isStopping: () => isStopping,
    state,
    unreadyReason: () => {
      if (isStopping) return 'stopping';
      if (!isConfirmed) return 'no setup is confirmed by the core yet';
      if (router.view().list === undefined) return 'no server list has been received yet';
      if (gate.isShut()) return 'resumed after a freeze, setup and server list not refreshed yet';
      return spread.view().isolated ? 'isolated from all peers' : undefined;
    },
    start: async () => {
      await spread.start();
      source.start();
      router.start();
      stopFreezeChecks = callEvery(clock, freezeCheckIntervalUs, gate.isShut);
      closeReport = openFailureReport(clock, log, counters, state).close;
      log.change('started', {});
      void confirm();
    },
    stop: async (callers) => {
      isStopping = true;
      callers?.closeAfterNewest();
      log.change('stopping', { inFlight: router.inFlight() });
      const signalUs = clock.now();
      const { acceptUntilUs, answerAtUs, endAtUs } = stopScheduleOf(
        settings.terminationGraceUs ?? defaultTerminationGraceUs,
      );
      const unanswered = (): number => callers?.unanswered() ?? 0;
      const isAnswered = (): boolean => router.inFlight() === 0 && unanswered() === 0;
      const waitUntil = async (isDone: () => boolean, dueUs: () => Micros): Promise<void> => {
        while (!isDone() && clock.now() < signalUs + dueUs()) await delay(clock, drainPollIntervalUs);
      };
      const answerDueUs = (): Micros => answerAtUs(Math.max(router.inFlight(), unanswered()));
      await delay(clock, acceptUntilUs);
      callers?.closeIdle();
      isDraining = true;
      bodies.refuseWaiting();
      await waitUntil(() => admission.pendingCount() === 0, answerDueUs);
      router.drain();
      await waitUntil(isAnswered, answerDueUs);
      const remaining = { inFlight: router.inFlight(), unanswered: unanswered() };
      router.shutDown();
      callers?.refuseUnanswered();
      await waitUntil(isAnswered, () => endAtUs);
      log.change('stopped', { ...remaining, cutOff: router.inFlight(), unread: unanswered() });
      end();
    },
    end,
  };
};
