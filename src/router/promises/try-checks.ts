import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { Rule } from '../../setup/document/rule.js';
import type { Continuation } from '../exchange/continuation.js';
import type { PromiseChecks } from './promise-checks.js';

/** A try that leaves for a server; none where the newest list has it no more. */
export type SentTry = {
  readonly exchange: string;
  readonly rule: Pick<Rule, 'service'>;
  readonly server: ListedServer | undefined;
  /** The platform's time as far as it is certain. */
  readonly nowUs: Micros;
};

/** Looks at what a router does with exchanges, servers and configurations. */
export type TryChecks = {
  readonly sent: (sent: SentTry) => void;
  /** A configuration comes into force in place of another. */
  readonly configured: (formerRevision: number | undefined, revision: number) => void;
  /** An exchange is under way at a moment, less what the process itself was held up. */
  readonly waiting: (continuation: Pick<Continuation, 'exchange' | 'dueUs' | 'watch'>, nowUs: Micros) => void;
};

/** For so long after it was shown as leaving a server may get new work. */
export const mostLeavingUs: Micros = 3_000_000;
/** An exchange may be without a last word for so long after its budget. */
export const mostOverdueUs: Micros = 500_000;

/** Opens the looks at tries, configurations and waiting exchanges; each exchange is found overdue once. */
export const openTryChecks = (checks: PromiseChecks): TryChecks => {
  const overdue = new WeakSet<Continuation['watch']>();
  return {
    sent: ({ exchange, rule, server, nowUs }) => {
      if (server === undefined) return;
      const { id, service, leavingAtUs } = server;
      if (service !== rule.service)
        checks.broken('service-of-its-rule', { exchange, server: id, service, wanted: rule.service });
      if (leavingAtUs !== undefined && nowUs > leavingAtUs + mostLeavingUs)
        checks.broken('leaving-gets-nothing', { exchange, server: id, sinceUs: nowUs - leavingAtUs });
    },
    configured: (formerRevision, revision) => {
      if (formerRevision !== undefined && revision < formerRevision)
        checks.broken('configuration-never-back', { from: formerRevision, to: revision });
    },
    waiting: ({ exchange, dueUs, watch }, nowUs) => {
      if (nowUs <= dueUs + mostOverdueUs || watch.isAnswered() || overdue.has(watch)) return;
      overdue.add(watch);
      checks.broken('answered-in-time', { exchange, overdueUs: nowUs - dueUs });
    },
  };
};
