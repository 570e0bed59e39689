import { EitherAsync } from 'purify-ts';
import { delay } from '../../common/clock/delay.js';
import type { TypedError } from '../../common/typed-error.js';
import { hasCommittedInTerm } from '../../control/machine/log-queries.js';
import { openCoreClient, type CoreClient } from '../core-client.js';
import { openCounters, type Counters } from '../counters.js';
import { openFailureReport } from '../failure-report.js';
import type { Log } from '../log.js';
import { openLoopDelay } from '../loop-delay.js';
import { instrumentedOperatorService } from '../operator/instrumented-operator-service.js';
import { openOperatorService, type OperatorService } from '../operator/operator-service.js';
import type { ControlSettings } from '../settings/control-settings.js';
import { linkOptionsOf } from '../settings/node-settings.js';
import { openPollerTask } from '../poller-task.js';
import { openGossipTask, type GossipTask } from '../gossip-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';
import { openControlTask, type ControlTask } from './control-task.js';
import { openQuotaStoreTask, type QuotaStoreTask } from './quota-store-task.js';

/** A control node with all its tasks, without its HTTP server. */
export type ControlNode = {
  readonly spread: GossipTask;
  readonly control: ControlTask;
  readonly core: CoreClient;
  /** The service for the calls of operators. */
  readonly desk: OperatorService;
  readonly counters: Counters;
  readonly quotas: QuotaStoreTask;
  /** Why the node is not ready to serve; undefined while it is ready. */
  readonly unready: () => string | undefined;
  readonly start: () => Promise<void>;
  /** Transfers leadership if this node is the leader, then closes all tasks. */
  readonly stop: () => Promise<void>;
};

export type ControlNodeDependencies = {
  readonly settings: ControlSettings;
  readonly log: Log;
  readonly surroundings: Surroundings;
  /** Called once on a fatal error: the disk has failed or an invariant of the log is broken. */
  readonly fail: (error: TypedError) => void;
};

/**
 * How long a stopping node continues to run after it resigned, so that the new leader is established and a standby learner
 * is promoted to voter in its place.
 */
const handoverUs = 250_000;

/** Opens the disk of a control node and assembles its tasks; fails if the disk can not be opened. */
export const openControlNode = ({
  settings,
  log,
  surroundings,
  fail,
}: ControlNodeDependencies): EitherAsync<TypedError, ControlNode> => {
  const counters = openCounters();
  const spread = openGossipTask(
    {
      node: settings.node,
      role: 'control',
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
  return openControlTask(settings, spread, log, counters, surroundings, fail).map((control) => {
    const core = openCoreClient(spread, surroundings);
    const source = openPollerTask('control', settings.node, spread, log, counters, surroundings);
    const quotas = openQuotaStoreTask({
      spread,
      clock: surroundings.clock,
      counters,
      replica: control.replica,
      ...(settings.quota === undefined ? {} : { tolerance: settings.quota }),
    });
    let closeFailureReport = (): void => undefined;
    const loopDelay = openLoopDelay(surroundings.clock, counters);
    const state = () => {
      const { role, term, commit } = control.replica();
      return {
        role,
        term,
        commit,
        revision: spread.view().record?.revision ?? 0,
        loopDelayUs: loopDelay.takeLongestUs(),
      };
    };
    return {
      spread,
      control,
      core,
      desk: instrumentedOperatorService(openOperatorService(core, spread.platformUs), counters, log),
      counters,
      quotas,
      unready: () => {
        const replica = control.replica();
        const { leader, role } = replica;
        if (leader === undefined) return `no leader of the core is known (role: ${role})`;
        if (role === 'learner' || role === 'unfounded') return `not yet a voter of the core (role: ${role})`;
        return hasCommittedInTerm(replica)
          ? undefined
          : `no entry of term ${replica.term} is committed on this node yet`;
      },
      start: async () => {
        await spread.start();
        source.start();
        control.start();
        closeFailureReport = openFailureReport(surroundings.clock, log, counters, state).close;
        log.change('started', { identity: control.replica().identity, role: control.replica().role });
      },
      stop: async () => {
        log.change('stopping', {});
        await control.resign();
        await delay(surroundings.clock, handoverUs);
        source.close();
        closeFailureReport();
        loopDelay.close();
        await control.close();
        spread.close();
      },
    };
  });
};
