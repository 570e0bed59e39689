import { EitherAsync } from 'purify-ts';
import { paused } from '../../common/clock/paused.js';
import type { TypedError } from '../../common/typed-error.js';
import { hasCommittedInTerm } from '../../control/machine/log-queries.js';
import { openCoreClient, type CoreClient } from '../core-client.js';
import { openCounters, type Counters } from '../counters.js';
import { openFailureReport } from '../failure-report.js';
import type { Log } from '../log.js';
import { openLoopDelay } from '../loop-delay.js';
import { countedOperatorService } from '../operator/counted-operator-service.js';
import { openOperatorService, type OperatorService } from '../operator/operator-service.js';
import type { ControlSettings } from '../settings/control-settings.js';
import { linkOptionsOf } from '../settings/node-settings.js';
import { openSourceTask } from '../source-task.js';
import { openSpreadTask, type SpreadTask } from '../spread-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';
import { openControlTask, type ControlTask } from './control-task.js';
import { openQuotaStoreTask, type QuotaStoreTask } from './quota-store-task.js';

/** A core machine with all its tasks; only HTTP is added from outside. */
export type ControlNode = {
  readonly spread: SpreadTask;
  readonly control: ControlTask;
  readonly core: CoreClient;
  readonly desk: OperatorService;
  readonly counters: Counters;
  readonly quotas: QuotaStoreTask;
  readonly unready: () => string | undefined;
  readonly start: () => Promise<void>;
  /** Hands its place over if it leads, and ends. */
  readonly stop: () => Promise<void>;
};

export type ControlNodePlan = {
  readonly settings: ControlSettings;
  readonly log: Log;
  readonly surroundings: Surroundings;
  /** Called once when the disk can no longer be written. */
  readonly fail: (error: TypedError) => void;
};

/** For so long a machine that stops goes on, so that its successor leads and a learner that stands by has its vote. */
const handOverUs = 250_000;

/** Opens the disk of a core machine and puts its tasks together. */
export const openControlNode = ({
  settings,
  log,
  surroundings,
  fail,
}: ControlNodePlan): EitherAsync<TypedError, ControlNode> => {
  const counters = openCounters();
  const spread = openSpreadTask(
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
    const source = openSourceTask('control', settings.node, spread, log, counters, surroundings);
    const quotas = openQuotaStoreTask({
      spread,
      clock: surroundings.clock,
      counters,
      replica: control.replica,
      ...(settings.quota === undefined ? {} : { tolerance: settings.quota }),
    });
    let closeReport = (): void => undefined;
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
      desk: countedOperatorService(openOperatorService(core, spread.platformUs), counters, log),
      counters,
      quotas,
      unready: () => {
        const replica = control.replica();
        const { leader, role } = replica;
        if (leader === undefined) return `no leader is known (${role})`;
        if (role === 'learner' || role === 'unfounded') return `not a voter of the core yet (${role})`;
        return hasCommittedInTerm(replica) ? undefined : `nothing of term ${replica.term} is committed here yet`;
      },
      start: async () => {
        await spread.start();
        source.start();
        control.start();
        closeReport = openFailureReport(surroundings.clock, log, counters, state).close;
        log.change('started', { identity: control.replica().identity, role: control.replica().role });
      },
      stop: async () => {
        log.change('stopping', {});
        await control.resign();
        await paused(surroundings.clock, handOverUs);
        source.close();
        closeReport();
        loopDelay.close();
        await control.close();
        spread.close();
      },
    };
  });
};
