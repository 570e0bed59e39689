import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { Rule } from '../../setup/document/rule.js';
import type { Continuation } from '../exchange/continuation.js';
import type { GuaranteeMonitor } from './guarantee-monitor.js';

/** An attempt at the moment it is sent. `server` is undefined if the newest list no longer contains it. */
export type SentAttempt = {
  readonly exchange: string;
  readonly rule: Pick<Rule, 'service'>;
  readonly server: ListedServer | undefined;
  /** The lower bound of the platform's time. */
  readonly nowUs: Micros;
};

/** Checks attempts, configuration changes and pending exchanges against the guarantees. */
export type RoutingChecks = {
  /** Checks an attempt when it is sent. */
  readonly sent: (sent: SentAttempt) => void;
  /** Checks a configuration that replaces another. */
  readonly configured: (previousRevision: number | undefined, revision: number) => void;
  /** Checks a pending exchange for its deadline. `nowUs` excludes time in which this process was stalled. */
  readonly waiting: (continuation: Pick<Continuation, 'exchange' | 'dueUs' | 'watch'>, nowUs: Micros) => void;
};

/** Grace period after a server is listed as leaving, in which it may still get attempts. */
export const leavingGraceUs: Micros = 3_000_000;
/** Grace period after the end of its budget, in which an exchange may lack a final answer. */
export const overdueGraceUs: Micros = 500_000;

/** Opens the checks; each overdue exchange is reported once. */
export const openRoutingChecks = (guarantees: GuaranteeMonitor): RoutingChecks => {
  const reportedOverdue = new WeakSet<Continuation['watch']>();
  return {
    sent: ({ exchange, rule, server, nowUs }) => {
      if (server === undefined) return;
      const { id, service, leavingAtUs } = server;
      if (service !== rule.service)
        guarantees.broken('service-of-its-rule', { exchange, server: id, service, wanted: rule.service });
      if (leavingAtUs !== undefined && nowUs > leavingAtUs + leavingGraceUs)
        guarantees.broken('leaving-gets-nothing', { exchange, server: id, sinceUs: nowUs - leavingAtUs });
    },
    configured: (previousRevision, revision) => {
      if (previousRevision !== undefined && revision < previousRevision)
        guarantees.broken('configuration-never-back', { from: previousRevision, to: revision });
    },
    waiting: ({ exchange, dueUs, watch }, nowUs) => {
      if (nowUs <= dueUs + overdueGraceUs || watch.isAnswered() || reportedOverdue.has(watch)) return;
      reportedOverdue.add(watch);
      guarantees.broken('answered-in-time', { exchange, overdueUs: nowUs - dueUs });
    },
  };
};
